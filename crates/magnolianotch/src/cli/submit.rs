//! `job submit`: a file of any size, sent as a stream.

use std::{
    io,
    path::Path,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_std::{
    fs::File,
    io::{BufReader, Read},
};
use notch_callers::{
    due::{format_time, parse_due},
    view::JobView,
};
use notch_http::prelude::*;
use notch_types::prelude::*;

use super::{
    args::SubmitArgs,
    error::CliError,
    gateway::{GatewayClient, set_key},
    job_look,
    output::CommandOutput,
    progress::ByteProgress,
};

/// Bytes read from the file at one time.
const READ_BYTES: usize = 64 << 10;

/// Submits a file.
pub(super) async fn run(
    client: &GatewayClient,
    args: &SubmitArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let due = due_text(&args.due)?;
    let mut request = client.request(Method::Post, &["jobs"]);
    let mut query = request.url_mut().query_pairs_mut();
    query.append_pair("target", &args.target).append_pair("due", &due);
    if args.non_idempotent {
        query.append_pair("idempotent", "false");
    }
    drop(query);
    if let Some(key) = &args.idempotency_key {
        set_key(&mut request, key)?;
    }
    let (body, progress) = file_body(&args.file, output).await?;
    request.set_body(body);
    request.insert_header("content-type", "application/x-ndjson");
    let submitted = client.ask::<JobView>(request).await;
    progress.end();
    let view = submitted.inspect_err(|error| note_resend(error, output))?;
    if view.resend == Some(true) && args.idempotency_key.is_none() {
        output.note("the same lines are the same job; to run them anew, give an --idempotency-key");
    }
    let view = if args.wait { job_look::wait(client, view, output).await? } else { view };
    job_look::show(&view, output);
    Ok(())
}

/// A lost answer leaves the caller in doubt; the same command settles it.
fn note_resend(error: &CliError, output: &mut CommandOutput) {
    if matches!(error, CliError::Http(ClientError::Lost(_)) | CliError::CutAnswer(_)) {
        output.note("the job may be accepted; send it again: the same file is the same job");
    }
}

/// A due time, or a duration from now.
fn due_text(text: &str) -> Result<String, CliError> {
    if let Ok(after) = humantime::parse_duration(text) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let due = (since + after).as_millis();
        return Ok(format_time(WallTime(u64::try_from(due).unwrap_or(u64::MAX))));
    }
    let due = parse_due(text).map_err(|refusal| {
        CliError::Usage(format!("{}, or as a time from now, as in 6h", refusal.detail))
    })?;
    Ok(format_time(due))
}

/// The file as a body; its length is announced where it is known.
async fn file_body(path: &Path, output: &CommandOutput) -> Result<(Body, ByteProgress), CliError> {
    if path == Path::new("-") {
        let progress = ByteProgress::new(output, 0);
        let reader = CountedReader { inner: async_std::io::stdin(), progress: progress.clone() };
        let body = Body::from_reader(BufReader::with_capacity(READ_BYTES, reader), None);
        return Ok((body, progress));
    }
    let failed = |error| CliError::File(path.to_owned(), error);
    let file = File::open(path).await.map_err(failed)?;
    let metadata = file.metadata().await.map_err(failed)?;
    if metadata.is_dir() {
        return Err(failed(io::Error::from(io::ErrorKind::IsADirectory)));
    }
    let progress = ByteProgress::new(output, metadata.len());
    let length = metadata.is_file().then_some(metadata.len() as usize);
    let reader = CountedReader { inner: file, progress: progress.clone() };
    let body = Body::from_reader(BufReader::with_capacity(READ_BYTES, reader), length);
    Ok((body, progress))
}

/// Shows what passes.
struct CountedReader<R> {
    inner: R,
    progress: ByteProgress,
}

impl<R: Read + Unpin> Read for CountedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.progress.add(count as u64);
        Poll::Ready(Ok(count))
    }
}
