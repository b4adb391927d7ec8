package org.ragworthook.daemon.engine;

import java.util.Objects;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import org.ragworthook.core.response.HeadFault;
import org.ragworthook.objectapi.http.HttpClients;
import org.ragworthook.wire.message.Run;

/**
 * One call to the upstream. Its state is confined to the context on which it was started.
 */
public abstract class UpstreamCall {

	private final Run run;

	private final CallListener listener;

	private final AnswerMemory.Held held;

	private HttpClientRequest request;

	/** The response, or {@code null} before its head has come. */
	private HttpClientResponse response;

	private boolean paused;

	private Future<Void> written;

	private boolean endStated;

	private boolean bodyEnded;

	private boolean sent;

	private boolean ended;

	UpstreamCall(Run run, CallListener listener, AnswerMemory.Held held) {
		this.held = Objects.requireNonNull(held, "held is null");
		this.run = Objects.requireNonNull(run, "run is null");
		this.listener = Objects.requireNonNull(listener, "listener is null");
	}

	final void start(HttpClient client, RequestOptions options) {
		client.request(options).onComplete((connected) -> {
			if (connected.failed()) {
				end(CallEnd.Kind.NOT_PASSED_ON, "cannot connect: " + connected.cause().getMessage());
			}
			else if (this.ended) {
				connected.result().reset();
			}
			else {
				send(connected.result());
			}
		});
	}

	private void send(HttpClientRequest connected) {
		this.request = connected;
		this.sent = true;
		// Failures end the call by way of the response; without a handler Vert.x would
		// log each cancelled call as an error.
		connected.exceptionHandler((failure) -> {
		});
		if (!this.run.getContentType().isEmpty()) {
			connected.putHeader(HttpHeaders.CONTENT_TYPE, this.run.getContentType());
		}
		if (!this.run.getIdempotencyKey().isEmpty()) {
			connected.putHeader("Idempotency-Key", this.run.getIdempotencyKey());
		}
		connected.response().onComplete((response) -> {
			if (response.failed()) {
				end(CallEnd.Kind.BROKEN, "no answer: " + response.cause().getMessage());
			}
			else if (!this.ended) {
				receive(response.result());
			}
		});
		this.written = connected.end(Buffer.buffer(body()));
	}

	private void receive(HttpClientResponse received) {
		this.response = received;
		Optional<HeadFault> fault = HeadFault.of(received.statusMessage(), received.headers());
		if (fault.isPresent()) {
			broken(fault.get().detail());
			return;
		}
		this.endStated = HttpClients.endStated(received);
		received.exceptionHandler((failure) -> broken("answer broke off: " + failure.getMessage()));
		received.endHandler((ignored) -> bodyEnded());
		received.handler((data) -> {
			if (!this.ended) {
				data(data);
			}
		});
		head(received.statusCode(), String.valueOf(received.getHeader(HttpHeaders.CONTENT_TYPE)));
	}

	/**
	 * Called when the body has ended. A body whose end is not stated ends with its
	 * connection; a connection that ends before the request is written has failed.
	 */
	private void bodyEnded() {
		this.bodyEnded = true;
		if (this.endStated || this.written.succeeded()) {
			responseEnded();
		}
		else {
			broken("the connection ended before the request was written");
		}
	}

	/**
	 * Counts bytes of the answer that are held until it is complete, and ends the call if
	 * they are too many.
	 * @param bytes the number of further bytes
	 * @return whether they can be held
	 */
	final boolean hold(int bytes) {
		if (this.held.add(bytes)) {
			return true;
		}
		end(CallEnd.Kind.BROKEN, "the answer takes up too much memory");
		return false;
	}

	/**
	 * Cancels the call. The connection to the upstream is closed, which frees its slot.
	 */
	public final void cancel() {
		end(CallEnd.Kind.CANCELLED, "cancelled");
	}

	/**
	 * Stops to read the answer until {@link #resume()}. What has been read may still come
	 * as output.
	 */
	public final void pause() {
		setPaused(true);
	}

	/**
	 * Goes on to read the answer.
	 */
	public final void resume() {
		setPaused(false);
	}

	private void setPaused(boolean newPaused) {
		if (this.response != null && this.paused != newPaused) {
			this.paused = newPaused;
			HttpClients.setReading(this.response, !newPaused);
		}
	}

	/**
	 * Tells whether any of the request was handed to the connection.
	 * @return whether the upstream may have got it
	 */
	public final boolean sent() {
		return this.sent;
	}

	final Run run() {
		return this.run;
	}

	final void output(CallOutput piece) {
		if (!this.ended) {
			this.listener.output(piece);
		}
	}

	/**
	 * The answer broke off. If nothing of it is missing, it counts as whole.
	 * @param detail what happened
	 */
	final void broken(String detail) {
		if (this.ended) {
			return;
		}
		if (complete()) {
			endWhole();
		}
		else {
			end(CallEnd.Kind.BROKEN, detail);
		}
	}

	/**
	 * Ends the call. What the upstream may send behind an answer is not read.
	 * @param kind how the call ends
	 * @param detail why
	 */
	final void end(CallEnd.Kind kind, String detail) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.held.close();
		if ((kind != CallEnd.Kind.ANSWERED || !this.bodyEnded) && this.request != null) {
			this.request.reset();
		}
		this.listener.ended(new CallEnd(kind, detail, text(), tokens()));
	}

	/**
	 * Returns the body for the upstream.
	 * @return bytes
	 */
	abstract byte[] body();

	/**
	 * The head of the answer has come.
	 * @param status the HTTP status
	 * @param contentType the type of the content
	 */
	abstract void head(int status, String contentType);

	/**
	 * Data of the answer has come.
	 * @param data bytes
	 */
	abstract void data(Buffer data);

	/**
	 * The answer's body has ended.
	 */
	abstract void responseEnded();

	/**
	 * Tells whether the answer is whole although its end has not come.
	 * @return whether only the mark of the end is missing
	 */
	boolean complete() {
		return false;
	}

	/**
	 * Ends an answer that is complete.
	 */
	void endWhole() {
		end(CallEnd.Kind.ANSWERED, "answered");
	}

	/**
	 * Returns what has been generated so far, over all attempts.
	 * @return text
	 */
	abstract String text();

	/**
	 * Returns how many tokens have been generated so far, over all attempts.
	 * @return a count
	 */
	abstract int tokens();

}
