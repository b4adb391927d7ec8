package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.PrefixAffinity;

import static com.google.common.truth.Truth.assertThat;

class DispatchClientTests {

	private static final Duration GOAL = Duration.ofMillis(200);

	private final ManualTime time = ManualTime.of();

	private final Line line = new Line();

	private final DispatchClient client = DispatchClient.of(this.time, this.time, this.line);

	private boolean ask(DispatchClient.SlotRequester asker) {
		return this.client.requestSlot(asker, "svc", Set.of(), this.time.nanos() + GOAL.toNanos());
	}

	/**
	 * The dispatcher's machine freezes. Requests that wait for its word would be late
	 * although slots are free; they go back to the entry's own choice in a tenth of their
	 * goal, and the next ones do not wait for it at all.
	 */
	@Test
	void shouldChooseForItselfWhenTheDispatcherIsSilent() {
		Request first = new Request();
		Request second = new Request();
		assertThat(ask(first)).isTrue();
		this.time.advance(Duration.ofMillis(10));
		assertThat(ask(second)).isTrue();
		this.time.advance(DispatchClient.ANSWER);
		assertThat(first.outcomes).containsExactly("unanswered");
		assertThat(second.outcomes).containsExactly("unanswered");
		assertThat(ask(new Request())).isFalse();
		this.time.advance(DispatchClient.DOUBTED);
		assertThat(ask(new Request())).isTrue();
	}

	/**
	 * The dispatcher's machine is taken away in a burst. Its silence shows in the reports
	 * only after a second and a half; if each entry chose for itself that long, requests
	 * would fill the engines' queues for the rest of the burst.
	 */
	@Test
	void shouldAskTheNextWhenTheDispatcherIsSilent() {
		this.line.dispatchers = List.of("first", "second");
		ask(new Request());
		this.time.advance(DispatchClient.ANSWER);
		assertThat(ask(new Request())).isTrue();
		this.time.advance(DispatchClient.DOUBTED);
		assertThat(ask(new Request())).isTrue();
		assertThat(this.line.askedOf).containsExactly("first", "second", "first").inOrder();
	}

	/**
	 * A request waits in the dispatcher's line, which is not silence: it is asked for
	 * again in case that the grant was lost, with what is left until its goal.
	 */
	@Test
	void shouldAskAgainWhileARequestWaits() {
		Request request = new Request();
		ask(request);
		this.client.waits(1);
		this.time.advance(DispatchClient.ASK_AGAIN);
		assertThat(request.outcomes).isEmpty();
		assertThat(this.line.asked).containsExactly("1 200", "1 100").inOrder();
		this.client.granted(1, 7, false);
		assertThat(request.outcomes).containsExactly("granted 7");
	}

	/**
	 * The caller leaves while its request waits, and the grant comes after all.
	 */
	@Test
	void shouldIgnoreAGrantForARequestThatIsGone() {
		Request request = new Request();
		ask(request);
		this.client.cancel(request);
		this.client.granted(1, 7, false);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(request.outcomes).isEmpty();
		assertThat(this.line.asked).hasSize(1);
	}

	@Test
	void shouldAskNobodyWhereThereIsNoDispatcher() {
		this.line.dispatchers = List.of();
		assertThat(ask(new Request())).isFalse();
	}

	private static final class Request implements DispatchClient.SlotRequester {

		private final List<String> outcomes = new ArrayList<>();

		@Override
		public String requestId() {
			return "r";
		}

		@Override
		public PrefixAffinity prefixAffinity() {
			return PrefixAffinity.none();
		}

		@Override
		public void granted(int upstreamKey, boolean yields) {
			this.outcomes.add("granted " + upstreamKey);
		}

		@Override
		public void dispatcherTimedOut() {
			this.outcomes.add("unanswered");
		}

	}

	/**
	 * Leads to a dispatcher that hears and says nothing.
	 */
	private static final class Line implements DispatchClient.Channel {

		private final List<String> asked = new ArrayList<>();

		private final List<String> askedOf = new ArrayList<>();

		private List<String> dispatchers = List.of("d");

		@Override
		public Optional<String> dispatcher(String service, Predicate<String> usable) {
			return this.dispatchers.stream().filter(usable).findFirst();
		}

		@Override
		public void ask(String name, DispatchClient.SlotQuery question) {
			this.askedOf.add(name);
			this.asked.add(question.number() + " " + question.toGoal().toMillis());
		}

	}

}
