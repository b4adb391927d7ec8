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
 * Guards against a write whose reported outcome differs from its effect: an accepted job
 * that is reported as rejected, a rejected job that runs, or a change that is applied
 * twice. The store loses responses, applies writes late and rejects calls, while a second
 * writer changes the same object.
 */
class ConditionalWriterLawsTests {

	private static final ObjectKey KEY = ObjectKey.of(Kind.JOB, "job-1");

	private static final String SEED = "20261202";

	@Property(seed = SEED, tries = 2000)
	void shouldReportActualOutcomeOfCreate(@ForAll("calls") List<Step> calls) {
		Scenario scenario = new Scenario(calls);
		scenario.assertOutcomeMatchesEffect(scenario.writer.create(KEY, "mine", Labels.empty()));
	}

	@Property(seed = SEED, tries = 2000)
	void shouldReportActualOutcomeOfUpdate(@ForAll("calls") List<Step> calls) {
		Scenario scenario = new Scenario(calls);
		Stored current = scenario.store.create(KEY, Draft.of("before", "other#0")).join();
		scenario.assertOutcomeMatchesEffect(scenario.writer.update(current, "mine"));
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
	 * The fault and the concurrent events of one store call of the writer.
	 *
	 * @param fault the fault of the call
	 * @param concurrentWrite whether a second writer changes the object before the call
	 * @param delivers whether delayed calls reach the store before the call
	 */
	record Step(Fault fault, boolean concurrentWrite, boolean delivers) {
	}

	private static final class Scenario {

		private final MemoryObjectStore store = MemoryObjectStore.empty();

		private final FaultyObjectStore faulty = FaultyObjectStore.over(this.store);

		private final ConditionalWriter writer = ConditionalWriter.of(this.faulty, Stamps.of("mine"));

		private final List<String> appliedStamps = new ArrayList<>();

		Scenario(List<Step> steps) {
			this.store.watch(KEY.kind(), Labels.empty(), 0,
					(event) -> this.appliedStamps.add(event.object().draft().stamp()), () -> {
					});
			this.faulty.plan((call) -> (call.number() < steps.size()) ? prepare(steps.get(call.number())) : Fault.NONE);
		}

		private Fault prepare(Step step) {
			if (step.delivers()) {
				this.faulty.deliver();
			}
			if (step.concurrentWrite()) {
				writeConcurrently();
			}
			return step.fault();
		}

		private void writeConcurrently() {
			Optional<Stored> found = this.store.read(KEY).join();
			Draft draft = Draft.of("other", "other#" + (this.appliedStamps.size() + 1));
			found.map((current) -> this.store.update(KEY, draft, current.version()))
				.orElseGet(() -> this.store.create(KEY, draft))
				.join();
		}

		void assertOutcomeMatchesEffect(CompletableFuture<Stored> write) {
			Optional<ErrorCode> failure = failure(write);
			this.faulty.deliver();
			long applied = this.appliedStamps.stream().filter((stamp) -> stamp.startsWith("mine")).count();
			assertThat(applied).isAtMost(1);
			if (failure.isEmpty()) {
				assertThat(applied).isEqualTo(1);
			}
			else if (failure.get() != ErrorCode.STORE_OUTCOME_UNKNOWN) {
				assertThat(applied).isEqualTo(0);
			}
		}

		private static Optional<ErrorCode> failure(CompletableFuture<Stored> write) {
			assertThat(write.isDone()).isTrue();
			try {
				write.join();
				return Optional.empty();
			}
			catch (CompletionException ex) {
				return Optional.of(ConditionalWriter.codeOf(ex).orElseThrow());
			}
		}

	}

}
