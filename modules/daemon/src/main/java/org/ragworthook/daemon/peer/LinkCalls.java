package org.ragworthook.daemon.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.error.RagworthookException;
import org.ragworthook.core.time.Timers;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.message.Call;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Reply;

/**
 * Calls over links: gives each call a number, finds the handler of a verb, and fails what
 * is not answered in time or whose link is lost.
 */
public final class LinkCalls {

	private final Timers timers;

	private final AtomicLong numbers = new AtomicLong();

	private final Map<String, PeerCall> handlers = new ConcurrentHashMap<>();

	private final Map<Long, Waiting> waiting = new ConcurrentHashMap<>();

	/**
	 * Creates calls without handlers.
	 * @param timers ends calls that are not answered
	 */
	public LinkCalls(Timers timers) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
	}

	/**
	 * Has a verb answered.
	 * @param verb the verb
	 * @param handler answers its calls
	 */
	public void handle(String verb, PeerCall handler) {
		this.handlers.put(verb, handler);
	}

	// -- the caller's side

	/**
	 * Calls the other end of a link.
	 * @param link the link
	 * @param verb the verb
	 * @param body what to send
	 * @param timeout how long to wait for the answer
	 * @return the answer; fails with the other end's own code, or with
	 * {@code LINK_FAILED} if there was none and it is not known whether the call was
	 * carried out
	 */
	public CompletableFuture<ByteString> call(Link link, String verb, ByteString body, Duration timeout) {
		long number = this.numbers.incrementAndGet();
		Waiting call = new Waiting(link, new CompletableFuture<>());
		this.waiting.put(number, call);
		Timers.Timer timer = this.timers.schedule(timeout,
				() -> fail(number, "no answer to " + verb + " from " + link + " in " + timeout));
		call.answer().whenComplete((answer, failure) -> timer.cancel());
		Call.Builder frame = Call.newBuilder().setNumber(number).setVerb(verb).setBody(body);
		if (!link.send(Frame.newBuilder().setCall(frame).build())) {
			fail(number, link + " is closed");
		}
		return call.answer();
	}

	/**
	 * Fails the calls that wait on a link.
	 * @param link the link that was closed or lost
	 */
	public void closed(Link link) {
		List.copyOf(this.waiting.entrySet())
			.stream()
			.filter((entry) -> entry.getValue().link() == link)
			.forEach((entry) -> fail(entry.getKey(), link + " was lost"));
	}

	private void fail(long number, String detail) {
		Waiting call = this.waiting.remove(number);
		if (call != null) {
			call.answer().completeExceptionally(new LinkException(ErrorCode.LINK_FAILED, detail));
		}
	}

	/**
	 * Takes a reply.
	 * @param link the link on which it came
	 * @param reply the reply; one to a call that was given up is dropped
	 */
	public void replied(Link link, Reply reply) {
		Waiting call = this.waiting.remove(reply.getNumber());
		if (call == null) {
			return;
		}
		if (reply.getError() == 0) {
			call.answer().complete(reply.getBody());
		}
		else {
			call.answer().completeExceptionally(new LinkException(code(reply.getError()), reply.getDetail()));
		}
	}

	private static ErrorCode code(int number) {
		for (ErrorCode code : ErrorCode.values()) {
			if (code.number() == number) {
				return code;
			}
		}
		return ErrorCode.INTERNAL;
	}

	// -- the answering side

	/**
	 * Answers a call.
	 * @param link the link on which it came
	 * @param call the call
	 */
	public void called(Link link, Call call) {
		PeerCall handler = this.handlers.get(call.getVerb());
		if (handler == null) {
			reply(link, call, ErrorCode.LINK_FAILED, "verb '" + call.getVerb() + "' is not known here");
			return;
		}
		handler.answer(link.remote().instance(), call.getBody()).whenComplete((body, failure) -> {
			if (failure == null) {
				send(link, Reply.newBuilder().setNumber(call.getNumber()).setBody(body));
			}
			else {
				RagworthookException known = known(failure);
				reply(link, call, known.code(), known.detail());
			}
		});
	}

	private static RagworthookException known(Throwable failure) {
		Throwable cause = Failures.root(failure);
		return (cause instanceof RagworthookException error) ? error
				: new LinkException(ErrorCode.INTERNAL, String.valueOf(cause));
	}

	private static void reply(Link link, Call call, ErrorCode code, String detail) {
		send(link, Reply.newBuilder().setNumber(call.getNumber()).setError(code.number()).setDetail(detail));
	}

	private static void send(Link link, Reply.Builder reply) {
		link.send(Frame.newBuilder().setReply(reply).build());
	}

	private record Waiting(Link link, CompletableFuture<ByteString> answer) {
	}

}
