use std::io;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::state::Node;

/// Time for the balancer to stop sending connections: it checks readiness once
/// a second and removes this process after two failed checks.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2200);
/// Time for requests in progress to be answered.
const RESPONSE_DRAIN_TIME: Duration = Duration::from_millis(800);

impl Node {
    /// Waits for SIGTERM or SIGINT, then shuts down: releases the shards, serves
    /// callers until the balancer stops sending connections, and closes the
    /// connections after their current requests.
    pub(super) async fn run_until_stopped(self: Rc<Self>) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => {
                    info!(self.main_log, "Ignored SIGHUP: settings can't be reloaded at run time.");
                }
            }
        }
        info!(self.main_log, "Stopping.");
        self.leaving.set(true);
        self.heartbeat_now.notify_one();
        let balancer_drained = tokio::time::sleep(BALANCER_DRAIN_TIME);
        self.release_shards().await;
        self.heartbeat_now.notify_one();
        balancer_drained.await;
        self.servers.close();
        tokio::time::sleep(RESPONSE_DRAIN_TIME).await;
        Ok(())
    }
}
