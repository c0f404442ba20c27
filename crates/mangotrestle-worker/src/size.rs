//! Sizes of the messages that make up the standing traffic with a worker.

use mangotrestle_core::lease::message;
use prost::Message;

use crate::generated;

/// Bytes that gRPC puts before each message.
const FRAME_BYTES: usize = 5;

/// Encoded size of a renewal, with gRPC's prefix and without HTTP/2 frames.
#[must_use]
pub fn renew_request_bytes(request: &message::RenewRequest) -> usize {
    FRAME_BYTES + generated::RenewRequest::from(request).encoded_len()
}

/// Encoded size of the answer to a renewal, with gRPC's prefix and without HTTP/2 frames.
#[must_use]
pub fn renew_answer_bytes(granted: &message::RenewGranted) -> usize {
    use generated::renew_answer::Answer;
    let answer = Answer::Granted(generated::RenewGranted::from(granted));
    let message = generated::RenewAnswer {
        answer: Some(answer),
    };
    FRAME_BYTES + message.encoded_len()
}
