package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpResponse;
import org.ragworthook.gateway.attempt.HeadCheck;
import org.ragworthook.gateway.event.SseFrameDecoder;
import org.ragworthook.gateway.origin.StreamOrigin;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;

/**
 * The response to a caller, as far as it was forwarded. It may consist of parts of
 * several attempts. Used on the event loop.
 * <p>
 * Its end is sent only by {@link #complete}, after an upstream has sent the whole of its
 * own response. Every other end of a response that has begun breaks off the caller's
 * connection.
 * <p>
 * An upstream may send its head long before the first part of the body. The head is
 * forwarded together with that part, so that until then the request can still be answered
 * with an error, or by another upstream.
 */
final class ForwardedResponse {

	private final CallerResponse caller;

	private Progress progress = Progress.NOT_STARTED;

	/** The head of the attempt in progress, until a part of its body was received. */
	private Optional<ReceivedHead> receivedHead = Optional.empty();

	private int status;

	private long lastEvent;

	/** The software that began the stream, or empty before the stream has begun. */
	private Optional<StreamOrigin> origin = Optional.empty();

	/**
	 * Creates a response of which nothing was forwarded.
	 * @param caller the response to the caller
	 * @param lastEvent the id of the last event that the caller had before its request,
	 * or 0
	 */
	ForwardedResponse(CallerResponse caller, long lastEvent) {
		this.caller = Objects.requireNonNull(caller, "caller is null");
		this.lastEvent = lastEvent;
	}

	/**
	 * Returns what was forwarded so far.
	 * @return the progress
	 */
	Progress progress() {
		return this.progress;
	}

	/**
	 * Returns whether a part of an upstream's response was forwarded.
	 * @return whether the response has begun
	 */
	boolean started() {
		return this.progress != Progress.NOT_STARTED;
	}

	/**
	 * Returns the status of the response.
	 * @return the HTTP status, or 0 before a head was received
	 */
	int status() {
		return this.receivedHead.map(ReceivedHead::status).orElse(this.status);
	}

	/**
	 * Returns the id of the last event that the caller has.
	 * @return the id, or 0 if there is none
	 */
	long lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Called when the caller resumes a stream that an earlier request has begun.
	 * @param begunBy the software that began it
	 */
	void resume(StreamOrigin begunBy) {
		this.origin = Optional.of(begunBy);
	}

	/**
	 * Returns whether an upstream may write the next part of the response. What two
	 * software versions write does not fit together.
	 * @param upstream the upstream
	 * @return false if other software began the stream
	 */
	boolean continuedBy(UpstreamDescriptor upstream) {
		return this.origin.isEmpty() || this.origin.get().continuedBy(upstream);
	}

	/**
	 * Returns the software that began the stream.
	 * @return the origin, or empty before the stream has begun
	 */
	Optional<StreamOrigin> origin() {
		return this.origin;
	}

	/**
	 * Returns the check of the head of the next attempt's response.
	 * @return the check
	 */
	HeadCheck headCheck() {
		return started() ? HeadCheck.eventStream() : HeadCheck.any();
	}

	/**
	 * Receives the head of an upstream's response, which is forwarded with the first part
	 * of the body. The caller keeps the first one, so the head of a continuation is
	 * dropped.
	 * @param head the head
	 * @param eventStream whether the body is a stream of events
	 * @param upstream the upstream that sent it
	 */
	void head(HttpResponse head, boolean eventStream, UpstreamDescriptor upstream) {
		if (!started()) {
			this.receivedHead = Optional.of(new ReceivedHead(head, eventStream, upstream));
		}
	}

	/**
	 * Called when an attempt has ended without a complete response. Drops its head if
	 * that was not forwarded.
	 */
	void attemptFailed() {
		this.receivedHead = Optional.empty();
	}

	private void forwardHead() {
		this.receivedHead.ifPresent((received) -> {
			this.status = received.status();
			this.progress = received.eventStream() ? Progress.EVENTS : Progress.OTHER_BODY;
			if (this.origin.isEmpty()) {
				this.origin = Optional.of(StreamOrigin.of(received.upstream()));
			}
			this.caller.head(received.head(), received.eventStream());
		});
		this.receivedHead = Optional.empty();
	}

	/**
	 * Forwards a part of the body.
	 * @param data the bytes; one event if the body is a stream of events
	 * @param eventId the id of the last event up to and including this part
	 */
	void data(byte[] data, long eventId) {
		forwardHead();
		if (this.progress == Progress.EVENTS && eventId == this.lastEvent && SseFrameDecoder.data(data).isPresent()) {
			this.progress = Progress.OTHER_BODY;
		}
		this.lastEvent = eventId;
		this.caller.write(data);
	}

	/**
	 * Ends the response as complete.
	 */
	void complete() {
		forwardHead();
		this.caller.end();
	}

	/**
	 * Ends a response that is not complete: sends a response of the gateway's own if
	 * nothing was forwarded, and breaks off the caller's connection otherwise.
	 * @param failureStatus the HTTP status of the gateway's own response
	 * @param detail a message for the caller
	 */
	void fail(int failureStatus, String detail) {
		if (started()) {
			this.caller.abort();
		}
		else {
			this.caller.respond(failureStatus, detail, Optional.empty());
		}
	}

	/**
	 * Responds that the request was not executed; nothing may have been forwarded.
	 * @param rejectionStatus the HTTP status
	 * @param detail a message for the caller
	 * @param retryAfter the time after which the caller may retry
	 */
	void reject(int rejectionStatus, String detail, Duration retryAfter) {
		this.caller.respond(rejectionStatus, detail, Optional.of(retryAfter));
	}

	/**
	 * Returns whether the memory of the caller's connection is used up because the caller
	 * reads slowly.
	 * @return whether to wait for {@link #onWritable} before more is forwarded
	 */
	boolean writeQueueFull() {
		return this.caller.writeQueueFull();
	}

	/**
	 * Sets the listener that is called once when there is room again.
	 * @param listener the listener
	 */
	void onWritable(Runnable listener) {
		this.caller.onWritable(listener);
	}

	/**
	 * A head that was received and not forwarded.
	 *
	 * @param head the head
	 * @param eventStream whether the body is a stream of events
	 * @param upstream the upstream that sent it
	 */
	private record ReceivedHead(HttpResponse head, boolean eventStream, UpstreamDescriptor upstream) {

		int status() {
			return this.head.status().code();
		}

	}

	/**
	 * What was forwarded of a response.
	 */
	enum Progress {

		/** Nothing. */
		NOT_STARTED,

		/**
		 * The head of a stream and complete events with ids, which another upstream can
		 * continue.
		 */
		EVENTS,

		/**
		 * The head of another response and maybe a part of its body, or a stream with an
		 * event that has no id.
		 */
		OTHER_BODY

	}

}
