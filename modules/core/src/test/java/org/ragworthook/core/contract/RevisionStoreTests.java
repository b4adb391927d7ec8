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
 * Tests for texts that are put together from snapshots and deltas.
 */
class RevisionStoreTests {

	private static final int CHANGES = 3 * RevisionStore.LONGEST_CHAIN + 5;

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final ContractRepository register = ContractRepository.of(this.store,
			ConditionalWriter.of(this.store, Stamps.of("entry")), () -> Instant.EPOCH);

	private final List<String> texts = new ArrayList<>(List.of(""));

	private void change(String text) {
		long base = this.texts.size() - 1;
		this.register.accept(new Proposal(text, base, "ana", "test", false), 0, OpenJobCounts.none()).join();
		this.texts.add(text);
	}

	private RevisionHead newestHead() {
		return RevisionCodec.parseHead(this.store.read(ContractRepository.NEWEST).join().orElseThrow().text());
	}

	@Property(tries = 500, seed = "20261202")
	void shouldTurnOneTextIntoTheOther(@ForAll String before, @ForAll String after) {
		TextDelta delta = TextDelta.between(before, after);
		assertThat(delta.apply(before)).isEqualTo(after);
		assertThat(delta.inserted().length()).isAtMost(after.length());
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 7, 40, CHANGES })
	void shouldGiveTheSameTextToWhoeverFollowsEveryFewChanges(int every) {
		RevisionStore follower = RevisionStore.of(this.store);
		Random random = new Random(20261202);
		for (int change = 1; change <= CHANGES; change++) {
			change(Texts.weight(1 + random.nextInt(1000)));
			if (change % every == 0) {
				assertThat(follower.restore(newestHead()).join().text()).isEqualTo(this.texts.get(change));
			}
		}
		for (int version = 1; version <= CHANGES; version++) {
			assertWithMessage("version %s", version).that(this.register.revision(version).join().orElseThrow().text())
				.isEqualTo(this.texts.get(version));
		}
	}

	@Test
	void shouldSendFewBytesForAnEditOfALongText() {
		change(accounts(6000, 1));
		change(accounts(6000, 2));
		Stored head = this.store.read(ContractRepository.NEWEST).join().orElseThrow();
		assertThat(this.texts.get(2).length()).isGreaterThan(600_000);
		assertThat(head.draft().bytes()).isLessThan(1000);
	}

	@Test
	void shouldMakeASnapshotOfATextThatIsMostlyNew() {
		change(Texts.desk());
		change(accounts(1000, 1));
		assertThat(newestHead().delta()).isEmpty();
		assertThat(newestHead().snapshotVersion()).isEqualTo(2);
	}

	@Test
	void shouldRemoveSnapshotsThatNoKeptChangeNeeds() {
		String kept = Texts.desk("\"retention\": {\"changes\": 64}");
		for (int change = 1; change <= 6 * RevisionStore.LONGEST_CHAIN; change++) {
			change(kept.replace("\"weight\": 2", "\"weight\": " + (change + 1)));
		}
		int snapshots = this.store.list(Kind.CONFIG, RevisionStore.SNAPSHOT_LABELS).join().objects().size();
		assertThat(snapshots).isAtMost(4);
		List<RevisionHead> history = this.register.history().join();
		for (RevisionHead head : history) {
			assertThat(this.register.revision(head.version()).join().orElseThrow().text())
				.isEqualTo(this.texts.get((int) head.version()));
		}
		assertThat(history.size()).isAtLeast(64);
		assertThat(history.size()).isAtMost(64 + RevisionStore.LONGEST_CHAIN + 1);
	}

	/**
	 * A process put a text in force that the platform does not know, as after a restore
	 * of the platform from a copy. A delta applied to it would make a text that nobody
	 * accepted; the operator would see two entries of one version that differ.
	 */
	@Test
	void shouldNotTrustABaseThatDoesNotFit() {
		change(Texts.desk());
		RevisionStore follower = RevisionStore.of(this.store);
		RevisionHead first = newestHead();
		String strange = Texts.weight(777);
		ObjectKey name = ObjectKey.of(Kind.CONFIG, RevisionStore.snapshotName(1, RevisionHead.digest(strange)));
		ConditionalWriter.of(this.store, Stamps.of("other"))
			.create(name, RevisionCodec.snapshot(strange), Labels.empty())
			.join();
		follower
			.restore(new RevisionHead(1, "eve", "other", Instant.EPOCH, RevisionHead.digest(strange), 1, name.name(),
					Optional.empty(), Optional.empty()))
			.join();
		change(Texts.weight(3));
		assertThat(first.version()).isEqualTo(1);
		assertThat(follower.restore(newestHead()).join().text()).isEqualTo(Texts.weight(3));
	}

	/**
	 * A head in the chain was deleted by hand. The text cannot be put together; the
	 * process must say so and keep the text in force, instead of one with a change left
	 * out.
	 */
	@Test
	void shouldRefuseATextOfWhichAPartIsMissing() {
		change(Texts.desk());
		change(Texts.weight(3));
		change(Texts.weight(4));
		Stored part = this.store.read(RevisionStore.changeKey(2)).join().orElseThrow();
		this.store.delete(part.key(), part.version()).join();
		RevisionStore follower = RevisionStore.of(this.store);
		ConfigException error = (ConfigException) Texts.failureOf(() -> follower.restore(newestHead()).join());
		assertThat(error.code()).isEqualTo(ErrorCode.CONFIG_MALFORMED);
		assertThat(error.detail()).contains("change-000000000002 is missing");
	}

	private static String accounts(int count, int weight) {
		String accounts = IntStream.range(0, count)
			.mapToObj((index) -> "{\"name\": \"account-" + index + "\", \"weight\": "
					+ ((index == count / 2) ? weight : 1) + ", \"keys\": [\"" + KeyHash.of("key-" + index).text()
					+ "\"]}")
			.collect(Collectors.joining(",\n"));
		return Texts.desk().replace("\"accounts\": [", "\"accounts\": [" + accounts + ",");
	}

}
