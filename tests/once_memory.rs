//! Measures the memory of a full table of request ids with a counting allocator.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    sync::atomic::{
        AtomicIsize,
        Ordering, //
    },
};

use cardamomroad::{
    at_most_once::{
        BeginDecision,
        ONCE_WINDOW,
        REMEMBERED_IDS_MAX,
        RequestFingerprint, //
        StartedIds,
    },
    util::id::Incarnation,
};
use tokio::time::{
    Duration,
    Instant, //
};

/// The table may use at most an eighth of the 128 MB that a host has for control data.
const BUDGET_BYTES: isize = 16 * 1024 * 1024;

static BYTES_IN_USE: AtomicIsize = AtomicIsize::new(0);

/// Counts the bytes in use and forwards all calls to the system allocator.
struct CountingAllocator;

// SAFETY: All calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES_IN_USE.fetch_add(layout.size().cast_signed(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES_IN_USE.fetch_sub(layout.size().cast_signed(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn a_full_table_fits_its_budget() {
    let t0 = Instant::now();
    let before = BYTES_IN_USE.load(Ordering::Relaxed);
    let mut once = StartedIds::new("bac-a-1".parse().expect("host"), Incarnation(5), t0);
    let per_second = REMEMBERED_IDS_MAX / usize::try_from(ONCE_WINDOW.as_secs()).expect("window");
    for n in 0..REMEMBERED_IDS_MAX {
        let second = u64::try_from(n / (per_second + 1)).expect("second");
        let now = t0 + Duration::from_secs(second);
        let id = format!("bac-a-1/5/{second}/{n}").parse().expect("id");
        let begin = once.begin(now, &id, RequestFingerprint(7));
        assert!(matches!(begin, BeginDecision::Run(_)), "{n}: {begin:?}");
    }
    let used = BYTES_IN_USE.load(Ordering::Relaxed) - before;
    let entries = once.len().cast_signed();
    println!(
        "entries={entries} bytes={used} bytes_per_entry={}",
        used / entries
    );
    assert!(used < BUDGET_BYTES, "{used} bytes");

    once.tick(t0 + ONCE_WINDOW * 3);
    assert!(once.is_empty());
}
