//! The background task that publishes the region's steering plan.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    error::StoreError,
    gateway::Gateway,
    host::{
        configuration::StoredPlans,
        planning::MakePlan, //
    },
    lease::Term,
    plan::Plan,
    planner::PLAN_PERIOD,
    relay::PLAN_PREFIX,
    role::{
        Role,
        RoleLease,
        spawn_lease_task, //
    },
    store::{
        Condition,
        ObjectStore, //
    },
    util::id::RegionName,
};

/// The poll interval while the host's region is not known yet.
const REGION_POLL_PERIOD: std::time::Duration = std::time::Duration::from_millis(500);

/// Starts the task. It publishes plans only while this host holds the planner's lease.
pub fn spawn<S: ObjectStore>(gw: Arc<Gateway>, store: Arc<S>) {
    tokio::spawn(run(gw, store));
}

async fn run<S: ObjectStore>(gw: Arc<Gateway>, store: Arc<S>) {
    let region = loop {
        if let Some(region) = gw.region.load_full() {
            break RegionName::clone(&region);
        }
        sleep(REGION_POLL_PERIOD).await;
    };
    let role = Role::Planner(region.clone());
    let role_lease = spawn_lease_task(gw.clone(), store.clone(), role);
    loop {
        sleep(PLAN_PERIOD).await;
        let Some(term) = role_lease.term() else {
            continue;
        };
        if let Err(e) = publish_plan(&gw, &*store, &region, &role_lease, term).await {
            log::warn!(event = "plan-not-published", region:%, cause:% = e; "");
        }
    }
}

async fn publish_plan<S: ObjectStore>(
    gw: &Gateway,
    store: &S,
    region: &RegionName,
    role_lease: &RoleLease,
    term: Term,
) -> Result<(), StoreError> {
    let key = format!("{PLAN_PREFIX}{region}");
    gw.metrics.store_calls.inc();
    let object = store.get(&key).await?;
    let stored: Option<Plan> = object
        .as_ref()
        .and_then(|o| rmp_serde::from_slice(&o.value).ok());
    let msg = MakePlan {
        region: region.clone(),
        term,
        stored,
    };
    let Ok(Some(plan)) = gw.host.send(msg).await else {
        return Ok(());
    };
    let value = rmp_serde::to_vec(&plan).map_err(|e| StoreError::Malformed {
        key: key.clone(),
        cause: e.to_string(),
    })?;
    let condition = match &object {
        Some(object) => Condition::At(object.version),
        None => Condition::Absent,
    };
    // The process may have been paused until its lease expired; it then publishes
    // nothing. The put's condition fails if a successor has already published.
    if role_lease.term() != Some(term) {
        return Ok(());
    }
    gw.metrics.store_calls.inc();
    store.put(&key, Bytes::from(value), condition).await?;
    log::info!(event = "plan-published", region:%, term = plan.term, number = plan.number; "");
    let _ = gw.host.send(StoredPlans(vec![plan])).await;
    Ok(())
}
