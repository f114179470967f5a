//! `job results`: lines as they come, to standard output or a file.

use std::{fs::File, io::Write};

use async_std::io::ReadExt;
use notch_http::prelude::*;

use super::{
    args::JobResultsArgs, error::CliError, gateway::GatewayClient, job_look::job_id,
    output::CommandOutput,
};

/// Bytes read at one time.
const READ_BYTES: usize = 64 << 10;

/// Reads a job's results.
pub(super) async fn run(
    client: &GatewayClient,
    args: &JobResultsArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let mut request = client.request(Method::Get, &["jobs", &job_id(&args.job)?, "results"]);
    let fields = [("from", args.from), ("limit", args.limit)];
    for (name, value) in fields {
        if let Some(value) = value {
            request.url_mut().query_pairs_mut().append_pair(name, &value.to_string());
        }
    }
    let mut response = client.send(request).await?;
    let mut file = match &args.output {
        None => None,
        Some(path) => {
            let created = File::create(path);
            Some((path, created.map_err(|error| CliError::File(path.clone(), error))?))
        }
    };
    let mut body = response.take_body();
    let mut bytes = vec![0; READ_BYTES];
    loop {
        let count = body.read(&mut bytes).await.map_err(|error| BodyError::from(&error))?;
        if count == 0 {
            return Ok(());
        }
        let lines = &bytes[..count];
        match &mut file {
            Some((path, file)) => {
                file.write_all(lines).map_err(|error| CliError::File((*path).clone(), error))?;
            }
            // A reader such as `head` that has enough is no failure.
            None if output.bytes(lines).is_err() => return Ok(()),
            None => {}
        }
    }
}
