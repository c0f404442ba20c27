//! Sizes of the periodic messages between a leader and a worker.

use mangotrestle_core::lease::message;
use prost::Message;

use crate::generated;

/// Length of the prefix that gRPC puts before each message.
const GRPC_PREFIX_BYTES: usize = 5;

/// Returns the encoded size of a renewal, in bytes, with gRPC's prefix and without HTTP/2 frames.
#[must_use]
pub fn renew_request_bytes(request: &message::RenewRequest) -> usize {
    GRPC_PREFIX_BYTES + generated::RenewRequest::from(request).encoded_len()
}

/// Returns the encoded size of the answer to a renewal, in bytes, with gRPC's prefix and without
/// HTTP/2 frames.
#[must_use]
pub fn renew_answer_bytes(granted: &message::RenewGranted) -> usize {
    use generated::renew_answer::Answer;
    let answer = Answer::Granted(generated::RenewGranted::from(granted));
    let message = generated::RenewAnswer {
        answer: Some(answer),
    };
    GRPC_PREFIX_BYTES + message.encoded_len()
}
