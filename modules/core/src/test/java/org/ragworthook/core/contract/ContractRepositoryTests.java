package org.ragworthook.core.contract;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RagworthookException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ContractRepositoryTests {

	private final FaultyStore store = FaultyStore.over(MemoryObjectStore.empty());

	private final ContractRepository register = ContractRepository.of(this.store,
			ConditionalWriter.of(this.store, Stamps.of("entry-1")), () -> Instant.EPOCH);

	private Revision accept(String author, long base, String text) {
		return this.register.accept(new Proposal(text, base, author, "test", false), 0, OpenJobCounts.none()).join();
	}

	private String text(long version) {
		return this.register.revision(version).join().orElseThrow().text();
	}

	private RagworthookException refusal(String author, long base, String text) {
		return Texts.failureOf(() -> accept(author, base, text));
	}

	@Test
	void shouldKeepAuthorAndReasonOfEveryChange() {
		accept("ana", 0, Texts.desk());
		accept("ben", 1, Texts.weight(3));
		accept("ana", 2, Texts.desk());
		List<RevisionHead> history = this.register.history().join();
		assertThat(history.stream().map(RevisionHead::version).toList()).containsExactly(3L, 2L, 1L).inOrder();
		assertThat(history.stream().map(RevisionHead::author).toList()).containsExactly("ana", "ben", "ana").inOrder();
		assertThat(text(1)).isEqualTo(Texts.desk());
		assertThat(text(2)).isEqualTo(Texts.weight(3));
		assertThat(text(3)).isEqualTo(Texts.desk());
	}

	// Two operators open the same version and both apply their edit. The second must
	// learn
	// of the first's change instead of wiping it out, and must see both edits in words.
	@Test
	void shouldTellTheSlowerOfTwoOperatorsWhatTheOtherChanged() {
		accept("ana", 0, Texts.desk());
		accept("ben", 1, Texts.weight(3));
		RagworthookException refusal = refusal("ana", 1, Texts.deskVersion("v2"));
		assertThat(refusal.code()).isEqualTo(ErrorCode.CONFIG_CONFLICT);
		assertThat(refusal.detail()).contains("ana edited version 1, but version 2 by ben");
		assertThat(refusal.detail()).contains("ben changed: account office: weight 2 -> 3");
		assertThat(refusal.detail()).contains("ana changes: roll out m@v2");
		assertThat(this.register.newest().join().orElseThrow().text()).isEqualTo(Texts.weight(3));
	}

	// The race is closer still: the other operator's write lands between this entry's
	// read
	// and its write. Only the platform's version check stands between them.
	@Test
	void shouldRefuseAnEditThatLosesTheRaceAtThePlatform() {
		accept("ana", 0, Texts.desk());
		ContractRepository other = ContractRepository.of(this.store.healthy(),
				ConditionalWriter.of(this.store.healthy(), Stamps.of("entry-2")), () -> Instant.EPOCH);
		this.store.beforeNextUpdate(
				() -> other.accept(new Proposal(Texts.weight(3), 1, "ben", "race", false), 0, OpenJobCounts.none())
					.join());
		assertThat(refusal("ana", 1, Texts.weight(9)).code()).isEqualTo(ErrorCode.CONFIG_CONFLICT);
		assertThat(this.register.newest().join().orElseThrow().author()).isEqualTo("ben");
	}

	// The platform takes the write and the answer is lost on the way back. The operator
	// must be told that the change was accepted, once, not that it conflicts with itself.
	@Test
	void shouldAcceptOnceWhenTheAnswerIsLost() {
		accept("ana", 0, Texts.desk());
		this.store.failNextWrites(FaultyStore.Fault.ANSWER_LOST, 2);
		assertThat(accept("ana", 1, Texts.weight(3)).version()).isEqualTo(2);
		assertThat(this.register.history().join()).hasSize(2);
	}

	// The entry itself dies after the write, so nobody reads back. The operator applies
	// the
	// same file again and expects the version that was accepted.
	@Test
	void shouldRecogniseAChangeThatIsSubmittedAgain() {
		accept("ana", 0, Texts.desk());
		accept("ana", 1, Texts.weight(3));
		assertThat(accept("ana", 1, Texts.weight(3)).version()).isEqualTo(2);
		assertThat(refusal("ben", 1, Texts.weight(3)).code()).isEqualTo(ErrorCode.CONFIG_CONFLICT);
	}

	// The platform fails before, during or after the acceptance. The operator sees an
	// error
	// that is true, and submitting again brings the change about exactly once.
	@ParameterizedTest
	@EnumSource(FaultyStore.Fault.class)
	void shouldNeitherLoseNorDoubleAChangeWhenThePlatformFails(FaultyStore.Fault fault) {
		accept("ana", 0, Texts.desk());
		for (int at = 1; at <= 6; at++) {
			long base = this.register.newest().join().orElseThrow().version();
			String text = Texts.weight(10 + at);
			this.store.failCallsFrom(at, fault);
			try {
				accept("ana", base, text);
			}
			catch (CompletionException ex) {
				assertThat(ex.getCause()).isInstanceOf(RagworthookException.class);
			}
			this.store.heal();
			assertWithMessage("%s at call %s", fault, at).that(accept("ana", base, text).version()).isEqualTo(base + 1);
		}
		assertThat(this.register.history().join().stream().map(RevisionHead::version).toList())
			.containsExactly(7L, 6L, 5L, 4L, 3L, 2L, 1L)
			.inOrder();
	}

	@Test
	void shouldRefuseATextThatStrandsAcceptedJobs() {
		accept("ana", 0, Texts.desk());
		OpenJobCounts open = new OpenJobCounts(Map.of("office", 3), Map.of("m", 3));
		String text = Texts.desk().replace("\"office\"", "\"shop\"");
		Proposal proposal = new Proposal(text, 1, "ana", "rename", false);
		RagworthookException refusal = Texts.failureOf(() -> this.register.accept(proposal, 0, open).join());
		assertThat(refusal.code()).isEqualTo(ErrorCode.CONFIG_STRANDS_WORK);
		Proposal forced = new Proposal(text, 1, "ana", "rename", true);
		assertThat(this.register.accept(forced, 0, open).join().version()).isEqualTo(2);
	}

	// Somebody deletes the object by hand and applies a text anew. Numbered from 1 again
	// the
	// text would be ignored by every process that has seen a higher version.
	@Test
	void shouldNumberAboveTheVersionInForceAfterTheObjectWasDeleted() {
		Proposal proposal = new Proposal(Texts.desk(), 0, "ana", "anew", false);
		assertThat(this.register.accept(proposal, 41, OpenJobCounts.none()).join().version()).isEqualTo(42);
	}

	@Test
	void shouldKeepSixThousandAccountsAndRefuseWhatThePlatformCannotHold() {
		accept("ana", 0, Texts.desk("\"operators\": []").replace("\"operators\": []", "\"retention\": {}"));
		assertThat(accept("ana", 1, accounts(6000)).version()).isEqualTo(2);
		assertThat(this.register.newest().join().orElseThrow().text()).isEqualTo(accounts(6000));
		assertThat(refusal("ana", 2, accounts(20_000)).code()).isEqualTo(ErrorCode.CONFIG_TOO_LARGE);
	}

	private static String accounts(int count) {
		Random random = new Random(7);
		String accounts = IntStream.range(0, count)
			.mapToObj((index) -> "{\"name\": \"account-" + index + "\", \"weight\": 1, \"keys\": [\""
					+ KeyHash.of(Long.toString(random.nextLong())).text() + "\"]}")
			.collect(Collectors.joining(",\n"));
		return Texts.desk().replace("\"accounts\": [", "\"accounts\": [" + accounts + ",");
	}

}
