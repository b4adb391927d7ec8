package org.ragworthook.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BatchLoop}.
 */
class BatchLoopTests {

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration GROWTH = Duration.ofMillis(2);

	private static final Duration PREFILL = Duration.ofMillis(1);

	private final ManualTime time = ManualTime.of();

	private final List<String> log = new ArrayList<>();

	private final PrefixCache cache = new PrefixCache(100, (block, stored) -> {
	});

	private final BatchLoop loop = new BatchLoop(settings(), this.time, this.time, this.cache, new Recorder());

	private static EngineSettings settings() {
		return EngineSettings.builder().slots(2).tokenTime(STEP, GROWTH).prefillTime(PREFILL).build();
	}

	private Generation submit(String name, int tokens) {
		return submit(name, name, tokens);
	}

	private Generation submit(String name, String prompt, int tokens) {
		Generation generation = new Generation(new Prompt(prompt, tokens, true), new NamedSink(name));
		this.loop.submit(generation);
		return generation;
	}

	@Test
	void shouldAdmitInArrivalOrderWhenASlotIsFree() {
		submit("a", 2);
		submit("b", 1);
		submit("c", 1);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.log).containsExactly("a", "a", "a.", "b", "b.", "c", "c.").inOrder();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2 })
	void shouldTakeLongerForATokenTheMoreRequestsRun(int requests) {
		for (int i = 0; i < requests; i++) {
			submit("r" + i, 10_000);
		}
		this.time.advance(Duration.ofSeconds(1));
		int before = this.log.size();
		this.time.advance(STEP.plus(GROWTH.multipliedBy(requests - 1L)).multipliedBy(5));
		assertThat(this.log.size() - before).isEqualTo(5 * requests);
	}

	@Test
	void shouldPrefillFasterWhatIsCached() {
		String prompt = "word ".repeat(64);
		submit("first", prompt, 1);
		this.time.advance(STEP.plus(PREFILL.multipliedBy(63)));
		assertThat(this.log).isEmpty();
		this.time.advance(PREFILL);
		assertThat(this.log).containsExactly("first", "first.");
		submit("again", prompt, 1);
		this.time.advance(STEP.plus(PREFILL));
		assertThat(this.log).containsExactly("first", "first.", "again", "again.").inOrder();
	}

	// A caller goes away. A slot that stayed taken until the last token would keep the
	// next
	// caller waiting for an answer that nobody reads.
	@Test
	void shouldFreeTheSlotOfACancelledRequest() {
		Generation first = submit("a", 1_000);
		submit("b", 1_000);
		submit("c", 1);
		this.time.advance(Duration.ofMillis(100));
		assertThat(this.log).doesNotContain("c");
		this.loop.cancel(first);
		this.time.advance(Duration.ofMillis(30));
		assertThat(this.log).contains("c.");
	}

	@Test
	void shouldForgetAWaitingRequestThatIsCancelled() {
		submit("a", 1_000);
		submit("b", 1_000);
		Generation waiting = submit("c", 1);
		this.time.advance(Duration.ofMillis(100));
		assertThat(this.loop.waiting()).isEqualTo(1);
		this.loop.cancel(waiting);
		assertThat(this.loop.waiting()).isEqualTo(0);
	}

	// One request crashes each engine that runs it; all that runs beside it is lost too.
	@Test
	void shouldCrashOnAMarkedRequest() {
		submit("a", 1_000);
		submit("poison", Prompt.CRASH_MARKER, 10);
		this.time.advance(Duration.ofMillis(100));
		assertThat(this.log).contains("crash");
		assertThat(this.loop.running()).isEqualTo(0);
	}

	private final class Recorder implements BatchLoop.Observer {

		@Override
		public void admitted(Generation generation) {
		}

		@Override
		public void finished(Generation generation) {
		}

		@Override
		public void crashed() {
			BatchLoopTests.this.log.add("crash");
			BatchLoopTests.this.loop.clear();
		}

	}

	private final class NamedSink implements Generation.Sink {

		private final String name;

		NamedSink(String name) {
			this.name = name;
		}

		@Override
		public void token(String text) {
			BatchLoopTests.this.log.add(this.name);
		}

		@Override
		public void finished(String reason, Generation generation) {
			BatchLoopTests.this.log.add(this.name + ".");
		}

	}

}
