use std::io;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::ownership::Recipients;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use super::state::Node;

/// Time for the balancer to stop sending connections: it checks readiness once
/// a second and removes this process after two failed checks.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2200);
/// Part of the platform's grace period that is left unused, so that the process
/// exits before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Interval between checks whether all requests are answered.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Waits for SIGTERM or SIGINT, then shuts down: releases the shards, serves
    /// callers until the balancer stops sending connections, and closes the
    /// connections after their current requests. Exits once all requests are
    /// answered, at the latest before the platform kills the process.
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
        let grace = Duration::from_millis(self.settings.bounds.grace_ms);
        let exit_at = Instant::now() + grace.saturating_sub(GRACE_MARGIN);
        self.leaving.set(true);
        self.request_heartbeat(Recipients::All);
        let balancer_drained = tokio::time::sleep(BALANCER_DRAIN_TIME);
        self.release_shards().await;
        self.request_heartbeat(Recipients::All);
        balancer_drained.await;
        self.servers.close();
        while self.servers.connections() > 0 && Instant::now() < exit_at {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        info!(self.main_log, "Requests drained."; "connections" => self.servers.connections());
        Ok(())
    }
}
