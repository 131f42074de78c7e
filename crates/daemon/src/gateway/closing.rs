//! Closes connections at the end of a shutdown, without cutting responses.

use std::pin::Pin;

use tokio::sync::watch;

/// Tells the connections of all listeners to close after their current response,
/// and shows when all have ended.
#[derive(Debug, Clone, Default)]
pub(super) struct Closing(watch::Sender<bool>);

impl Closing {
    /// Tells all connections to close. Those without a request close at once.
    pub(super) fn begin(&self) {
        self.0.send_replace(true);
    }

    /// Waits until every connection has ended.
    pub(super) async fn ended(&self) {
        self.0.closed().await;
    }

    /// Drives a connection to its end, and calls `close_gracefully` once when it
    /// should close.
    pub(super) async fn drive<C: Future>(
        &self,
        mut connection: Pin<&mut C>,
        close_gracefully: impl FnOnce(Pin<&mut C>),
    ) -> C::Output {
        // The receiver counts the connection as open.
        let mut closing = self.0.subscribe();
        tokio::select! {
            output = &mut connection => return output,
            // The sender is `self`, so that the wait can't fail.
            _ = closing.wait_for(|is_closing| *is_closing) => {}
        }
        close_gracefully(connection.as_mut());
        connection.await
    }
}
