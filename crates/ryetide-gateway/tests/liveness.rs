//! The socket options that find out whether a peer is gone.

use std::time::Duration;

use ryetide_gateway::target_pool;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// A sound target may send nothing, not even an acknowledgement, for this long.
const SILENCE: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(10);

/// The options as the kernel uses them: the first probe is sent after `time` without any packet, the
/// next ones follow at `interval`, and at one of these moments the connection is given up if nothing
/// was received for `user_timeout`, whatever the number of probes.
struct ProbeSchedule {
    time: Duration,
    interval: Duration,
    user_timeout: Duration,
}

impl ProbeSchedule {
    async fn of_open_stream() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream: TcpStream = target_pool::open_stream(address).await.expect("a connection");
        let socket = SockRef::from(&stream);
        Self {
            time: socket.tcp_keepalive_time().expect("an option"),
            interval: socket.tcp_keepalive_interval().expect("an option"),
            user_timeout: socket.tcp_user_timeout().expect("an option").expect("a timeout"),
        }
    }

    /// Whether a silence that begins at `start` after the last packet leaves the connection open: a
    /// probe is answered before it is given up.
    fn survives(&self, start: Duration) -> bool {
        let is_silent = |at: Duration| start <= at && at < start + SILENCE;
        let mut at = self.time;
        loop {
            let is_given_up = at > self.time && at >= self.user_timeout;
            if is_given_up || !is_silent(at) {
                return !is_given_up;
            }
            at += self.interval;
        }
    }
}

/// Guards against connections to sound targets that are given up because the one probe was sent while
/// the target was silent.
#[tokio::test]
async fn a_silence_of_a_second_or_so_ends_no_connection() {
    let schedule = ProbeSchedule::of_open_stream().await;
    let mut start = Duration::ZERO;
    while start < schedule.time * 2 {
        assert!(schedule.survives(start), "silent from {start:?} after the last packet");
        start += STEP;
    }
    assert!(schedule.user_timeout > SILENCE, "sent bytes wait for their acknowledgement");
}
