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

	private final FaultyStore store = FaultyStore.wrap(MemoryObjectStore.empty());

	private final ContractRepository repository = ContractRepository.of(this.store,
			ConditionalWriter.of(this.store, Stamps.of("entry-1")), () -> Instant.EPOCH);

	private Revision accept(String author, long base, String text) {
		return this.repository.accept(new Proposal(text, base, author, "test", false), 0, OpenJobCounts.none()).join();
	}

	private String text(long version) {
		return this.repository.revision(version).join().orElseThrow().text();
	}

	private RagworthookException rejection(String author, long base, String text) {
		return ContractTexts.failureOf(() -> accept(author, base, text));
	}

	@Test
	void shouldKeepVersionAuthorAndTextOfEveryRevision() {
		accept("ana", 0, ContractTexts.standard());
		accept("ben", 1, ContractTexts.withWeight(3));
		accept("ana", 2, ContractTexts.standard());
		List<RevisionHeader> history = this.repository.history().join();
		assertThat(history.stream().map(RevisionHeader::version).toList()).containsExactly(3L, 2L, 1L).inOrder();
		assertThat(history.stream().map(RevisionHeader::author).toList()).containsExactly("ana", "ben", "ana")
			.inOrder();
		assertThat(text(1)).isEqualTo(ContractTexts.standard());
		assertThat(text(2)).isEqualTo(ContractTexts.withWeight(3));
		assertThat(text(3)).isEqualTo(ContractTexts.standard());
	}

	// Two operators edit the same version and both apply. The second must get a conflict
	// that describes both edits, instead of overwriting the first one's change.
	@Test
	void shouldRejectAnEditOfAnOldVersionAndDescribeBothEdits() {
		accept("ana", 0, ContractTexts.standard());
		accept("ben", 1, ContractTexts.withWeight(3));
		RagworthookException rejection = rejection("ana", 1, ContractTexts.withModelVersion("v2"));
		assertThat(rejection.code()).isEqualTo(ErrorCode.CONFIG_CONFLICT);
		assertThat(rejection.detail()).contains("ana edited version 1, but version 2 by ben");
		assertThat(rejection.detail()).contains("ben changed: account office: weight 2 -> 3");
		assertThat(rejection.detail()).contains("ana changes: roll out m@v2");
		assertThat(this.repository.newest().join().orElseThrow().text()).isEqualTo(ContractTexts.withWeight(3));
	}

	// Another operator's write lands between this entry's read and its write. Only the
	// store's version check detects the conflict.
	@Test
	void shouldRejectAnEditThatLosesTheRaceInTheStore() {
		accept("ana", 0, ContractTexts.standard());
		ContractRepository other = ContractRepository.of(this.store.healthy(),
				ConditionalWriter.of(this.store.healthy(), Stamps.of("entry-2")), () -> Instant.EPOCH);
		this.store.beforeNextUpdate(() -> other
			.accept(new Proposal(ContractTexts.withWeight(3), 1, "ben", "race", false), 0, OpenJobCounts.none())
			.join());
		assertThat(rejection("ana", 1, ContractTexts.withWeight(9)).code()).isEqualTo(ErrorCode.CONFIG_CONFLICT);
		assertThat(this.repository.newest().join().orElseThrow().author()).isEqualTo("ben");
	}

	// The store applies the write, but the response is lost. The operator must see that
	// the change was accepted once, not a conflict with the same change.
	@Test
	void shouldAcceptOnceWhenTheStoreResponseIsLost() {
		accept("ana", 0, ContractTexts.standard());
		this.store.failNextWrites(FaultyStore.Fault.RESPONSE_LOST, 2);
		assertThat(accept("ana", 1, ContractTexts.withWeight(3)).version()).isEqualTo(2);
		assertThat(this.repository.history().join()).hasSize(2);
	}

	// The entry crashes after the write, before it can read back the outcome. The
	// operator applies the same file again and expects the version that was accepted.
	@Test
	void shouldReturnTheAcceptedVersionWhenAChangeIsResubmitted() {
		accept("ana", 0, ContractTexts.standard());
		accept("ana", 1, ContractTexts.withWeight(3));
		assertThat(accept("ana", 1, ContractTexts.withWeight(3)).version()).isEqualTo(2);
		assertThat(rejection("ben", 1, ContractTexts.withWeight(3)).code()).isEqualTo(ErrorCode.CONFIG_CONFLICT);
	}

	// The store fails before, during or after the acceptance. The operator must get a
	// typed error, and resubmitting must apply the change exactly once.
	@ParameterizedTest
	@EnumSource(FaultyStore.Fault.class)
	void shouldNeitherLoseNorDuplicateAChangeWhenTheStoreFails(FaultyStore.Fault fault) {
		accept("ana", 0, ContractTexts.standard());
		for (int at = 1; at <= 6; at++) {
			long base = this.repository.newest().join().orElseThrow().version();
			String text = ContractTexts.withWeight(10 + at);
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
		assertThat(this.repository.history().join().stream().map(RevisionHeader::version).toList())
			.containsExactly(7L, 6L, 5L, 4L, 3L, 2L, 1L)
			.inOrder();
	}

	@Test
	void shouldRejectAContractThatStrandsOpenJobsUnlessForced() {
		accept("ana", 0, ContractTexts.standard());
		OpenJobCounts open = new OpenJobCounts(Map.of("office", 3), Map.of("m", 3));
		String text = ContractTexts.standard().replace("\"office\"", "\"shop\"");
		Proposal proposal = new Proposal(text, 1, "ana", "rename", false);
		RagworthookException rejection = ContractTexts
			.failureOf(() -> this.repository.accept(proposal, 0, open).join());
		assertThat(rejection.code()).isEqualTo(ErrorCode.CONFIG_STRANDS_WORK);
		Proposal forced = new Proposal(text, 1, "ana", "rename", true);
		assertThat(this.repository.accept(forced, 0, open).join().version()).isEqualTo(2);
	}

	// The object is deleted by hand and a contract is applied again. If versions started
	// from 1 again, every process that has seen a higher version would ignore the
	// contract.
	@Test
	void shouldNumberAboveTheActiveVersionAfterTheObjectWasDeleted() {
		Proposal proposal = new Proposal(ContractTexts.standard(), 0, "ana", "anew", false);
		assertThat(this.repository.accept(proposal, 41, OpenJobCounts.none()).join().version()).isEqualTo(42);
	}

	@Test
	void shouldStoreSixThousandAccountsAndRejectTextsAboveTheSizeLimit() {
		accept("ana", 0, ContractTexts.standard("\"operators\": []").replace("\"operators\": []", "\"retention\": {}"));
		assertThat(accept("ana", 1, accounts(6000)).version()).isEqualTo(2);
		assertThat(this.repository.newest().join().orElseThrow().text()).isEqualTo(accounts(6000));
		assertThat(rejection("ana", 2, accounts(20_000)).code()).isEqualTo(ErrorCode.CONFIG_TOO_LARGE);
	}

	private static String accounts(int count) {
		Random random = new Random(7);
		String accounts = IntStream.range(0, count)
			.mapToObj((index) -> "{\"name\": \"account-" + index + "\", \"weight\": 1, \"keys\": [\""
					+ KeyHash.of(Long.toString(random.nextLong())).text() + "\"]}")
			.collect(Collectors.joining(",\n"));
		return ContractTexts.standard().replace("\"accounts\": [", "\"accounts\": [" + accounts + ",");
	}

}
