use std::io;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::state::Node;

/// Time in which the balancer notices that no connections are wanted: it asks
/// each second and gives up after two misses.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2200);
/// Time for the answers that are still owed.
const RESPONSE_DRAIN_TIME: Duration = Duration::from_millis(800);

impl Node {
    /// Waits for the order to stop and carries it out: shards are released,
    /// callers are served until the balancer sends no more, answers end.
    pub(super) async fn run_until_stopped(self: Rc<Self>) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => {
                    info!(self.main_log, "Settings may have changed; none that is in use can.");
                }
            }
        }
        info!(self.main_log, "Stopping.");
        self.leaving.set(true);
        self.heartbeat_now.notify_one();
        let served = tokio::time::sleep(BALANCER_DRAIN_TIME);
        self.release_shards().await;
        self.heartbeat_now.notify_one();
        served.await;
        self.servers.close();
        tokio::time::sleep(RESPONSE_DRAIN_TIME).await;
        Ok(())
    }
}
