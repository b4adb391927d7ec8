package org.ragworthook.core.contract;

import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

/**
 * Accepts texts and keeps their history at the platform.
 * <p>
 * The head of the newest revision is one small object, replaced by conditional write, so
 * of two operators who edited the same version only one is accepted and the other is told
 * who came first. Before a head is replaced it is copied into the history, and a new
 * snapshot of the text, when one is due, is written before the head that names it. Should
 * the entry stop between two writes, the next change finds the copy, and a snapshot that
 * no head names does no harm; the history plus the newest head has no gap at any moment.
 */
public final class ContractRepository {

	/** The object that holds the newest revision. */
	public static final ObjectKey NEWEST = ObjectKey.of(Kind.CONFIG, "contract");

	/** Selects the newest revision in a watch. */
	public static final Labels NEWEST_LABELS = Labels.of("part", "newest");

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private final RevisionStore revisions;

	private ContractRepository(ObjectStore store, ConditionalWriter writer, InstantSource clock) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.revisions = RevisionStore.of(store);
	}

	/**
	 * Returns a register.
	 * @param store where revisions are kept
	 * @param writer writes them
	 * @param clock tells when a text is accepted
	 * @return the register
	 */
	public static ContractRepository of(ObjectStore store, ConditionalWriter writer, InstantSource clock) {
		return new ContractRepository(store, writer, clock);
	}

	// -- reading

	/**
	 * Reads the newest revision.
	 * @return the revision, or empty if no text was accepted yet
	 */
	public CompletableFuture<Optional<Revision>> newest() {
		return this.store.read(NEWEST).thenCompose(this::restore);
	}

	/**
	 * Reads one revision.
	 * @param version which one
	 * @return the revision, or empty if there is none or it is no longer kept
	 */
	public CompletableFuture<Optional<Revision>> revision(long version) {
		return this.store.read(NEWEST).thenCompose((found) -> {
			if (found.filter((stored) -> head(stored).version() == version).isPresent()) {
				return restore(found);
			}
			return this.store.read(RevisionStore.changeKey(version)).thenCompose(this::restore);
		});
	}

	private CompletableFuture<Optional<Revision>> restore(Optional<Stored> found) {
		return found.map((stored) -> this.revisions.restore(head(stored)).thenApply(Optional::of))
			.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
	}

	/**
	 * Reads the heads of all revisions that are kept.
	 * @return the heads, newest first
	 */
	public CompletableFuture<List<RevisionHead>> history() {
		return this.store.list(Kind.CONFIG, RevisionStore.HISTORY_LABELS)
			.thenCombine(this.store.read(NEWEST), ContractRepository::newestFirst);
	}

	private static List<RevisionHead> newestFirst(Listing listing, Optional<Stored> newest) {
		List<RevisionHead> heads = new ArrayList<>();
		listing.objects().forEach((stored) -> heads.add(head(stored)));
		newest.map(ContractRepository::head)
			.filter((present) -> heads.stream().noneMatch((old) -> old.version() == present.version()))
			.ifPresent(heads::add);
		long oldest = heads.stream().mapToLong(RevisionHead::version).min().orElse(0);
		return heads.stream()
			.filter((head) -> head.snapshotVersion() >= oldest)
			.sorted(Comparator.comparingLong(RevisionHead::version).reversed())
			.toList();
	}

	private static RevisionHead head(Stored stored) {
		return RevisionCodec.parseHead(stored.text());
	}

	// -- acceptance

	/**
	 * Accepts a text, if it is valid and was edited from the newest version.
	 * @param proposal the text with its author and reason
	 * @param inForce the version that the accepting process acts by; the new version is
	 * above it even if the platform has lost the object
	 * @param open jobs that must not be stranded
	 * @return the accepted revision; fails with a {@link ConfigException} if the text is
	 * refused, and with a store's error if the platform did not take it
	 */
	public CompletableFuture<Revision> accept(Proposal proposal, long inForce, OpenJobCounts open) {
		Contract contract;
		try {
			contract = valid(proposal, open);
		}
		catch (ConfigException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		return this.store.read(NEWEST)
			.thenCompose(
					(found) -> found.isPresent() ? replace(found.get(), proposal, inForce) : first(proposal, inForce))
			.thenCompose((accepted) -> forget(accepted, contract.retention().changes()));
	}

	private static Contract valid(Proposal proposal, OpenJobCounts open) {
		Contract contract = Contract.parse(proposal.base() + 1, proposal.text());
		List<Problem> stranded = proposal.strand() ? List.of() : open.strandedBy(contract);
		if (!stranded.isEmpty()) {
			throw new ConfigException(ErrorCode.CONFIG_STRANDS_WORK,
					stranded.stream().map(Problem::message).collect(Collectors.joining(", ")));
		}
		return contract;
	}

	private CompletableFuture<Revision> first(Proposal proposal, long inForce) {
		if (proposal.base() != 0 && proposal.base() != inForce) {
			throw new ConfigException(ErrorCode.CONFIG_CONFLICT,
					"version " + proposal.base() + " was edited, but the platform holds no text");
		}
		RevisionHead fresh = snapshot(proposal, inForce + 1, Optional.empty());
		return writeSnapshot(fresh, proposal)
			.thenCompose((written) -> this.writer.create(NEWEST, RevisionCodec.head(fresh), NEWEST_LABELS))
			.handle((stored, failure) -> settle(fresh, failure, proposal))
			.thenCompose((settled) -> settled);
	}

	private CompletableFuture<Revision> replace(Stored seen, Proposal proposal, long inForce) {
		RevisionHead head = head(seen);
		return this.revisions.restore(head).thenCompose((newest) -> {
			if (isResubmission(newest, proposal)) {
				return CompletableFuture.completedFuture(newest);
			}
			if (newest.version() != proposal.base()) {
				return conflict(newest, proposal);
			}
			RevisionHead fresh = next(head, newest.text(), proposal, Math.max(inForce, newest.version()) + 1);
			return keep(seen, head).thenCompose((kept) -> writeSnapshot(fresh, proposal))
				.thenCompose((written) -> this.writer.update(seen, RevisionCodec.head(fresh)))
				.handle((stored, failure) -> settle(fresh, failure, proposal))
				.thenCompose((settled) -> settled);
		});
	}

	// An operator whose answer was lost submits the same text again from the same
	// version.
	// Without this check that would be reported as a conflict of the operator with
	// himself, although the change was accepted.
	private static boolean isResubmission(Revision newest, Proposal proposal) {
		boolean sameText = newest.text().equals(proposal.text());
		boolean unchanged = newest.version() == proposal.base();
		return sameText
				&& (unchanged || newest.version() == proposal.base() + 1 && newest.author().equals(proposal.author()));
	}

	/**
	 * Makes the head of the next version: a delta to the one before, or a snapshot where
	 * the chain of deltas has become long, the delta is large or a version was left out.
	 * @param before the head of the version before
	 * @param text its text
	 * @param proposal what is to be accepted
	 * @param version the number of the next version
	 * @return the head
	 * @throws ConfigException if the text is longer than the platform can hold
	 */
	private RevisionHead next(RevisionHead before, String text, Proposal proposal, long version) {
		TextDelta delta = TextDelta.between(text, proposal.text());
		boolean small = delta.inserted().length() <= RevisionStore.LARGEST_DELTA;
		boolean chained = version == before.version() + 1
				&& version - before.snapshotVersion() <= RevisionStore.LONGEST_CHAIN;
		if (!small || !chained) {
			return snapshot(proposal, version, Optional.of(before.snapshot()));
		}
		RevisionCodec.snapshot(proposal.text());
		return new RevisionHead(version, proposal.author(), proposal.reason(), now(),
				RevisionHead.digest(proposal.text()), before.snapshotVersion(), before.snapshot(), Optional.of(delta),
				Optional.empty());
	}

	private RevisionHead snapshot(Proposal proposal, long version, Optional<String> replaced) {
		String digest = RevisionHead.digest(proposal.text());
		return new RevisionHead(version, proposal.author(), proposal.reason(), now(), digest, version,
				RevisionStore.snapshotName(version, digest), Optional.empty(), replaced);
	}

	private Instant now() {
		return this.clock.instant().truncatedTo(ChronoUnit.MILLIS);
	}

	private CompletableFuture<Boolean> writeSnapshot(RevisionHead fresh, Proposal proposal) {
		if (fresh.delta().isPresent()) {
			return CompletableFuture.completedFuture(true);
		}
		return createOnce(ObjectKey.of(Kind.CONFIG, fresh.snapshot()), RevisionCodec.snapshot(proposal.text()),
				RevisionStore.SNAPSHOT_LABELS);
	}

	private CompletableFuture<Boolean> keep(Stored seen, RevisionHead head) {
		return createOnce(RevisionStore.changeKey(head.version()), seen.text(), RevisionStore.HISTORY_LABELS);
	}

	private CompletableFuture<Boolean> createOnce(ObjectKey key, String value, Labels labels) {
		return this.writer.create(key, value, labels).handle((stored, failure) -> {
			if (failure == null || isConflict(failure)) {
				return CompletableFuture.completedFuture(true);
			}
			return CompletableFuture.<Boolean>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	private CompletableFuture<Revision> settle(RevisionHead fresh, Throwable failure, Proposal proposal) {
		if (failure == null) {
			return CompletableFuture.completedFuture(fresh.with(proposal.text()));
		}
		if (isUnknown(failure)) {
			return findAccepted(fresh, failure, proposal);
		}
		if (!isConflict(failure)) {
			return CompletableFuture.failedFuture(failure);
		}
		return newest().thenCompose((newest) -> newest.isPresent() ? conflict(newest.get(), proposal)
				: CompletableFuture.failedFuture(failure));
	}

	/**
	 * Looks for a change whose write was not confirmed. Another operator may have
	 * replaced it already; then its head is in the history, and telling its author that
	 * it was refused would be wrong.
	 * @param fresh the head that was written
	 * @param failure what the write failed with
	 * @param proposal what was to be accepted
	 * @return the revision if it was accepted; else fails with the failure
	 */
	private CompletableFuture<Revision> findAccepted(RevisionHead fresh, Throwable failure, Proposal proposal) {
		return this.store.read(NEWEST)
			.thenCombine(this.store.read(RevisionStore.changeKey(fresh.version())),
					(newest, kept) -> Stream.of(newest, kept)
						.flatMap(Optional::stream)
						.map(ContractRepository::head)
						.anyMatch(fresh::equals))
			.thenCompose((accepted) -> accepted ? CompletableFuture.completedFuture(fresh.with(proposal.text()))
					: CompletableFuture.failedFuture(failure));
	}

	private static boolean isUnknown(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_OUTCOME_UNKNOWN).isPresent();
	}

	private static boolean isConflict(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_CONFLICT).isPresent();
	}

	private CompletableFuture<Revision> conflict(Revision newest, Proposal proposal) {
		return revision(proposal.base()).thenCompose((base) -> CompletableFuture
			.failedFuture(new ConfigException(ErrorCode.CONFIG_CONFLICT, words(base, newest, proposal))));
	}

	private static String words(Optional<Revision> base, Revision newest, Proposal proposal) {
		Optional<Contract> edited = base.map(ContractRepository::contract);
		String theirs = changes(edited, contract(newest));
		String own = changes(edited, Contract.parse(proposal.base() + 1, proposal.text()));
		return proposal.author() + " edited version " + proposal.base() + ", but " + newest.title()
				+ " was accepted since; " + newest.author() + " changed: " + theirs + "; " + proposal.author()
				+ " changes: " + own;
	}

	private static Contract contract(Revision revision) {
		return Contract.parse(revision.version(), revision.text());
	}

	private static String changes(Optional<Contract> before, Contract after) {
		List<ContractChange> changes = ContractDiff.between(before, after);
		return changes.isEmpty() ? "nothing but comments"
				: changes.stream().map(ContractChange::description).collect(Collectors.joining(", "));
	}

	/**
	 * Removes what is older than the history that is kept. A snapshot goes with the first
	 * head that no longer needs it. The heads that the oldest kept text is put together
	 * from stay.
	 * @param accepted the newest revision
	 * @param kept how many changes are kept
	 * @return the newest revision, whatever becomes of the removal
	 */
	private CompletableFuture<Revision> forget(Revision accepted, int kept) {
		long last = accepted.version() - kept - RevisionStore.LONGEST_CHAIN;
		if (last <= 0) {
			return CompletableFuture.completedFuture(accepted);
		}
		return this.store.read(RevisionStore.changeKey(last))
			.thenCompose((found) -> found.map(this::remove).orElseGet(() -> CompletableFuture.completedFuture(false)))
			.handle((gone, failure) -> accepted);
	}

	private CompletableFuture<Boolean> remove(Stored change) {
		CompletableFuture<Boolean> snapshot = head(change).replaced()
			.map((name) -> this.store.read(ObjectKey.of(Kind.CONFIG, name))
				.thenCompose((found) -> found.map((stored) -> this.store.delete(stored.key(), stored.version()))
					.orElseGet(() -> CompletableFuture.completedFuture(false))))
			.orElseGet(() -> CompletableFuture.completedFuture(false));
		return snapshot.thenCompose((gone) -> this.store.delete(change.key(), change.version()));
	}

}
