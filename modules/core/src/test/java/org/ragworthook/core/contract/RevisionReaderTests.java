package org.ragworthook.core.contract;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests restoring the texts of revisions from snapshots and deltas.
 */
class RevisionReaderTests {

	private static final int CHANGES = 3 * RevisionReader.MAX_CHAIN_LENGTH + 5;

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final ContractRepository repository = ContractRepository.of(this.store,
			ConditionalWriter.of(this.store, Stamps.of("entry")), () -> Instant.EPOCH);

	private final List<String> texts = new ArrayList<>(List.of(""));

	private void change(String text) {
		long base = this.texts.size() - 1;
		this.repository.accept(new Proposal(text, base, "ana", "test", false), 0, OpenJobCounts.none()).join();
		this.texts.add(text);
	}

	private RevisionHeader newestHeader() {
		return RevisionCodec.parseHeader(this.store.read(ContractRepository.NEWEST).join().orElseThrow().text());
	}

	@Property(tries = 500, seed = "20261202")
	void shouldReproduceTheLaterTextFromADelta(@ForAll String before, @ForAll String after) {
		TextDelta delta = TextDelta.between(before, after);
		assertThat(delta.apply(before)).isEqualTo(after);
		assertThat(delta.inserted().length()).isAtMost(after.length());
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 7, 40, CHANGES })
	void shouldRestoreTheSameTextForReadersThatSkipVersions(int every) {
		RevisionReader follower = RevisionReader.of(this.store);
		Random random = new Random(20261202);
		for (int change = 1; change <= CHANGES; change++) {
			change(ContractTexts.withWeight(1 + random.nextInt(1000)));
			if (change % every == 0) {
				assertThat(follower.restore(newestHeader()).join().text()).isEqualTo(this.texts.get(change));
			}
		}
		for (int version = 1; version <= CHANGES; version++) {
			assertWithMessage("version %s", version).that(this.repository.revision(version).join().orElseThrow().text())
				.isEqualTo(this.texts.get(version));
		}
	}

	@Test
	void shouldStoreASmallHeaderForAnEditOfALongText() {
		change(accounts(6000, 1));
		change(accounts(6000, 2));
		Stored header = this.store.read(ContractRepository.NEWEST).join().orElseThrow();
		assertThat(this.texts.get(2).length()).isGreaterThan(600_000);
		assertThat(header.draft().bytes()).isLessThan(1000);
	}

	@Test
	void shouldStoreASnapshotForALargeChange() {
		change(ContractTexts.standard());
		change(accounts(1000, 1));
		assertThat(newestHeader().delta()).isEmpty();
		assertThat(newestHeader().snapshotVersion()).isEqualTo(2);
	}

	@Test
	void shouldDeleteSnapshotsThatNoRetainedRevisionNeeds() {
		String kept = ContractTexts.standard("\"retention\": {\"changes\": 64}");
		for (int change = 1; change <= 6 * RevisionReader.MAX_CHAIN_LENGTH; change++) {
			change(kept.replace("\"weight\": 2", "\"weight\": " + (change + 1)));
		}
		int snapshots = this.store.list(Kind.CONFIG, RevisionReader.SNAPSHOT_LABELS).join().objects().size();
		assertThat(snapshots).isAtMost(4);
		List<RevisionHeader> history = this.repository.history().join();
		for (RevisionHeader header : history) {
			assertThat(this.repository.revision(header.version()).join().orElseThrow().text())
				.isEqualTo(this.texts.get((int) header.version()));
		}
		assertThat(history.size()).isAtLeast(64);
		assertThat(history.size()).isAtMost(64 + RevisionReader.MAX_CHAIN_LENGTH + 1);
	}

	/**
	 * A reader holds a text that the store does not contain, as after the store was
	 * restored from a backup. A delta applied to it would produce a contract that nobody
	 * accepted, and two entries would run different contracts under the same version.
	 */
	@Test
	void shouldRestoreFromTheSnapshotWhenTheCachedBaseDiffers() {
		change(ContractTexts.standard());
		RevisionReader follower = RevisionReader.of(this.store);
		RevisionHeader first = newestHeader();
		String strange = ContractTexts.withWeight(777);
		ObjectKey name = ObjectKey.of(Kind.CONFIG, RevisionReader.snapshotName(1, RevisionHeader.digest(strange)));
		ConditionalWriter.of(this.store, Stamps.of("other"))
			.create(name, RevisionCodec.snapshot(strange), Labels.empty())
			.join();
		follower
			.restore(new RevisionHeader(1, "eve", "other", Instant.EPOCH, RevisionHeader.digest(strange), 1,
					name.name(), Optional.empty(), Optional.empty()))
			.join();
		change(ContractTexts.withWeight(3));
		assertThat(first.version()).isEqualTo(1);
		assertThat(follower.restore(newestHeader()).join().text()).isEqualTo(ContractTexts.withWeight(3));
	}

	/**
	 * A header in the chain of deltas was deleted by hand. Restoring must fail instead of
	 * returning a text without that change.
	 */
	@Test
	void shouldFailWhenADeltaOfTheChainIsMissing() {
		change(ContractTexts.standard());
		change(ContractTexts.withWeight(3));
		change(ContractTexts.withWeight(4));
		Stored part = this.store.read(RevisionReader.changeKey(2)).join().orElseThrow();
		this.store.delete(part.key(), part.version()).join();
		RevisionReader follower = RevisionReader.of(this.store);
		ConfigException error = (ConfigException) ContractTexts
			.failureOf(() -> follower.restore(newestHeader()).join());
		assertThat(error.code()).isEqualTo(ErrorCode.CONFIG_MALFORMED);
		assertThat(error.detail()).contains("change-000000000002 is missing");
	}

	private static String accounts(int count, int weight) {
		String accounts = IntStream.range(0, count)
			.mapToObj((index) -> "{\"name\": \"account-" + index + "\", \"weight\": "
					+ ((index == count / 2) ? weight : 1) + ", \"keys\": [\"" + KeyHash.of("key-" + index).text()
					+ "\"]}")
			.collect(Collectors.joining(",\n"));
		return ContractTexts.standard().replace("\"accounts\": [", "\"accounts\": [" + accounts + ",");
	}

}
