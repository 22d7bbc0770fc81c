//! The command `explain-ahead`.

use percent_encoding::{
    NON_ALPHANUMERIC,
    utf8_percent_encode, //
};

use crate::{
    cli::ExplainAheadArguments,
    command::{
        CommandError,
        Context, //
        host_client::{
            get_from_host_with_key,
            host_error, //
        },
    },
    edge::explain::Explanation,
};

/// Asks a host what it would do with a request, and prints its reply.
pub(super) async fn run(
    cx: &mut Context<'_>,
    args: &ExplainAheadArguments,
) -> Result<(), CommandError> {
    let (host, target) = (args.address, target(args));
    let answer = get_from_host_with_key(host, &target, args.key.as_deref()).await?;
    let explanation: Explanation =
        serde_json::from_slice(&answer).map_err(|e| host_error(host, &e))?;
    cx.printer.print(&explanation)
}

/// Returns the path and query of the request to the host. The key is sent in a header instead, since
/// paths may be logged.
fn target(args: &ExplainAheadArguments) -> String {
    let bytes = args.bytes.to_string();
    let parameters = [
        ("host", Some(args.host.as_str())),
        ("path", Some(args.path.as_str())),
        ("method", Some(args.method.as_str())),
        ("object", args.object.as_deref()),
        ("region", args.region.as_deref()),
        ("id", args.id.as_deref()),
        ("bytes", Some(bytes.as_str())),
    ];
    let given = parameters.iter().filter_map(|(name, value)| {
        let value = utf8_percent_encode((*value)?, NON_ALPHANUMERIC);
        Some(format!("{name}={value}"))
    });
    format!("/explain?{}", given.collect::<Vec<_>>().join("&"))
}
