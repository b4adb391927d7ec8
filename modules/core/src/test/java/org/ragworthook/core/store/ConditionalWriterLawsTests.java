package org.ragworthook.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.FaultyObjectStore.Fault;

import static com.google.common.truth.Truth.assertThat;

/**
 * The platform loses answers, delivers calls late and refuses others, while a second
 * writer changes the same object. A user would notice a writer that gets this wrong by an
 * accepted job that is called refused, a refused one that is run, or a change that
 * happens twice.
 */
class ConditionalWriterLawsTests {

	private static final ObjectKey KEY = ObjectKey.of(Kind.JOB, "job-1");

	private static final String SEED = "20261202";

	@Property(seed = SEED, tries = 2000)
	void shouldTellTheTruthAboutCreates(@ForAll("calls") List<Step> calls) {
		Run run = new Run(calls);
		run.check(run.writer.create(KEY, "mine", Labels.empty()));
	}

	@Property(seed = SEED, tries = 2000)
	void shouldTellTheTruthAboutUpdates(@ForAll("calls") List<Step> calls) {
		Run run = new Run(calls);
		Stored seen = run.store.create(KEY, Draft.of("before", "other#0")).join();
		run.check(run.writer.update(seen, "mine"));
	}

	@Provide
	Arbitrary<List<Step>> calls() {
		Arbitrary<Fault> faults = Arbitraries.of(Fault.NONE, Fault.REFUSED, Fault.REQUEST_LOST, Fault.ANSWER_LOST,
				Fault.LATE);
		Arbitrary<Step> steps = Combinators.combine(faults, Arbitraries.of(true, false), Arbitraries.of(true, false))
			.as(Step::new);
		return steps.list().ofMaxSize(10);
	}

	/**
	 * What happens at one call of the writer.
	 *
	 * @param fault how the call fails
	 * @param rival whether a second writer changes the object before the call
	 * @param delivery whether late calls arrive before the call
	 */
	record Step(Fault fault, boolean rival, boolean delivery) {
	}

	private static final class Run {

		private final MemoryObjectStore store = MemoryObjectStore.empty();

		private final FaultyObjectStore faulty = FaultyObjectStore.over(this.store);

		private final ConditionalWriter writer = ConditionalWriter.of(this.faulty, Stamps.of("mine"));

		private final List<String> effects = new ArrayList<>();

		Run(List<Step> steps) {
			this.store.watch(KEY.kind(), Labels.empty(), 0, (event) -> this.effects.add(event.object().draft().stamp()),
					() -> {
					});
			this.faulty.plan((call) -> (call.number() < steps.size()) ? before(steps.get(call.number())) : Fault.NONE);
		}

		private Fault before(Step step) {
			if (step.delivery()) {
				this.faulty.deliver();
			}
			if (step.rival()) {
				replaceByRival();
			}
			return step.fault();
		}

		private void replaceByRival() {
			Optional<Stored> present = this.store.read(KEY).join();
			Draft draft = Draft.of("other", "other#" + (this.effects.size() + 1));
			present.map((seen) -> this.store.update(KEY, draft, seen.version()))
				.orElseGet(() -> this.store.create(KEY, draft))
				.join();
		}

		void check(CompletableFuture<Stored> written) {
			Optional<ErrorCode> failure = failure(written);
			this.faulty.deliver();
			long count = this.effects.stream().filter((stamp) -> stamp.startsWith("mine")).count();
			assertThat(count).isAtMost(1);
			if (failure.isEmpty()) {
				assertThat(count).isEqualTo(1);
			}
			else if (failure.get() != ErrorCode.STORE_OUTCOME_UNKNOWN) {
				assertThat(count).isEqualTo(0);
			}
		}

		private static Optional<ErrorCode> failure(CompletableFuture<Stored> written) {
			assertThat(written.isDone()).isTrue();
			try {
				written.join();
				return Optional.empty();
			}
			catch (CompletionException ex) {
				return Optional.of(ConditionalWriter.codeOf(ex).orElseThrow());
			}
		}

	}

}
