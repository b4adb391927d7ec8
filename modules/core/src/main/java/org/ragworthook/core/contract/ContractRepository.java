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
 * Validates proposed contracts and stores accepted revisions with their history in the
 * object store.
 * <p>
 * The header of the newest revision is one small object that is replaced by a conditional
 * write: of two operators who edited the same version, one succeeds and the other gets a
 * conflict that names the winner. Before a header is replaced it is copied to the
 * history, and a snapshot of the text, when one is due, is written before the header that
 * refers to it. The history together with the newest header therefore never has a gap,
 * even if the entry crashes between two writes: the next change finds the copy, and an
 * unreferenced snapshot is harmless.
 */
public final class ContractRepository {

	/** Key of the object that holds the header of the newest revision. */
	public static final ObjectKey NEWEST = ObjectKey.of(Kind.CONFIG, "contract");

	/** Labels of that object, to list or watch it alone. */
	public static final Labels NEWEST_LABELS = Labels.of("part", "newest");

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private final RevisionReader revisions;

	private ContractRepository(ObjectStore store, ConditionalWriter writer, InstantSource clock) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.revisions = RevisionReader.of(store);
	}

	/**
	 * Returns a repository.
	 * @param store the object store that holds the revisions
	 * @param writer performs conditional writes to the store
	 * @param clock provides the time of acceptance
	 * @return the repository
	 */
	public static ContractRepository of(ObjectStore store, ConditionalWriter writer, InstantSource clock) {
		return new ContractRepository(store, writer, clock);
	}

	// -- reading

	/**
	 * Returns the newest accepted revision.
	 * @return the revision, or empty if none has been accepted yet
	 */
	public CompletableFuture<Optional<Revision>> newest() {
		return this.store.read(NEWEST).thenCompose(this::restore);
	}

	/**
	 * Returns the revision with a given version.
	 * @param version the version of the revision
	 * @return the revision, or empty if it does not exist or is no longer retained
	 */
	public CompletableFuture<Optional<Revision>> revision(long version) {
		return this.store.read(NEWEST).thenCompose((found) -> {
			if (found.filter((stored) -> header(stored).version() == version).isPresent()) {
				return restore(found);
			}
			return this.store.read(RevisionReader.changeKey(version)).thenCompose(this::restore);
		});
	}

	private CompletableFuture<Optional<Revision>> restore(Optional<Stored> found) {
		return found.map((stored) -> this.revisions.restore(header(stored)).thenApply(Optional::of))
			.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
	}

	/**
	 * Returns the headers of all retained revisions.
	 * @return the headers, newest first
	 */
	public CompletableFuture<List<RevisionHeader>> history() {
		return this.store.list(Kind.CONFIG, RevisionReader.HISTORY_LABELS)
			.thenCombine(this.store.read(NEWEST), ContractRepository::newestFirst);
	}

	private static List<RevisionHeader> newestFirst(Listing listing, Optional<Stored> newest) {
		List<RevisionHeader> headers = new ArrayList<>();
		listing.objects().forEach((stored) -> headers.add(header(stored)));
		newest.map(ContractRepository::header)
			.filter((newestHeader) -> headers.stream().noneMatch((old) -> old.version() == newestHeader.version()))
			.ifPresent(headers::add);
		long oldest = headers.stream().mapToLong(RevisionHeader::version).min().orElse(0);
		return headers.stream()
			.filter((header) -> header.snapshotVersion() >= oldest)
			.sorted(Comparator.comparingLong(RevisionHeader::version).reversed())
			.toList();
	}

	private static RevisionHeader header(Stored stored) {
		return RevisionCodec.parseHeader(stored.text());
	}

	// -- acceptance

	/**
	 * Stores a proposed contract as the newest revision if it is valid and was edited
	 * from the newest version.
	 * @param proposal the proposed text with its author and reason
	 * @param activeVersion the version that is active in this process, or 0; the new
	 * version is higher even if the object in the store was lost
	 * @param openJobs the accepted, unfinished jobs that the new contract must still be
	 * able to run
	 * @return the accepted revision; fails with a {@link ConfigException} if the proposal
	 * is rejected, and with a store exception if the write failed
	 */
	public CompletableFuture<Revision> accept(Proposal proposal, long activeVersion, OpenJobCounts openJobs) {
		Contract contract;
		try {
			contract = parseValid(proposal, openJobs);
		}
		catch (ConfigException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		return this.store.read(NEWEST)
			.thenCompose((found) -> found.isPresent() ? acceptNext(found.get(), proposal, activeVersion)
					: acceptFirst(proposal, activeVersion))
			.thenCompose((accepted) -> pruneHistory(accepted, contract.retention().changes()));
	}

	private static Contract parseValid(Proposal proposal, OpenJobCounts openJobs) {
		Contract contract = Contract.parse(proposal.baseVersion() + 1, proposal.text());
		List<Problem> stranded = proposal.strandJobs() ? List.of() : openJobs.strandedBy(contract);
		if (!stranded.isEmpty()) {
			throw new ConfigException(ErrorCode.CONFIG_STRANDS_WORK,
					stranded.stream().map(Problem::message).collect(Collectors.joining(", ")));
		}
		return contract;
	}

	private CompletableFuture<Revision> acceptFirst(Proposal proposal, long activeVersion) {
		if (proposal.baseVersion() != 0 && proposal.baseVersion() != activeVersion) {
			throw new ConfigException(ErrorCode.CONFIG_CONFLICT,
					"version " + proposal.baseVersion() + " was edited, but the platform holds no text");
		}
		RevisionHeader created = snapshotHeader(proposal, activeVersion + 1, Optional.empty());
		return writeSnapshot(created, proposal)
			.thenCompose((written) -> this.writer.create(NEWEST, RevisionCodec.header(created), NEWEST_LABELS))
			.handle((stored, failure) -> resolve(created, failure, proposal))
			.thenCompose((future) -> future);
	}

	private CompletableFuture<Revision> acceptNext(Stored seen, Proposal proposal, long activeVersion) {
		RevisionHeader header = header(seen);
		return this.revisions.restore(header).thenCompose((newest) -> {
			if (isResubmission(newest, proposal)) {
				return CompletableFuture.completedFuture(newest);
			}
			if (newest.version() != proposal.baseVersion()) {
				return conflict(newest, proposal);
			}
			RevisionHeader created = nextHeader(header, newest.text(), proposal,
					Math.max(activeVersion, newest.version()) + 1);
			return archive(seen, header).thenCompose((kept) -> writeSnapshot(created, proposal))
				.thenCompose((written) -> this.writer.update(seen, RevisionCodec.header(created)))
				.handle((stored, failure) -> resolve(created, failure, proposal))
				.thenCompose((future) -> future);
		});
	}

	// Detects an operator who submits the same text again because the response was lost.
	// Without this check the operator would get a conflict with their own accepted
	// change.
	private static boolean isResubmission(Revision newest, Proposal proposal) {
		boolean sameText = newest.text().equals(proposal.text());
		boolean unchanged = newest.version() == proposal.baseVersion();
		return sameText && (unchanged
				|| newest.version() == proposal.baseVersion() + 1 && newest.author().equals(proposal.author()));
	}

	/**
	 * Returns the header of the next version. It holds a delta to the previous version,
	 * or refers to a new snapshot if the chain of deltas is too long, the delta is too
	 * large or a version number was skipped.
	 * @param previous the header of the previous version
	 * @param text the text of the previous version
	 * @param proposal the proposal to store
	 * @param version the number of the next version
	 * @return the header
	 * @throws ConfigException if the text exceeds the size limit of the store
	 */
	private RevisionHeader nextHeader(RevisionHeader previous, String text, Proposal proposal, long version) {
		TextDelta delta = TextDelta.between(text, proposal.text());
		boolean small = delta.inserted().length() <= RevisionReader.MAX_DELTA_CHARS;
		boolean chained = version == previous.version() + 1
				&& version - previous.snapshotVersion() <= RevisionReader.MAX_CHAIN_LENGTH;
		if (!small || !chained) {
			return snapshotHeader(proposal, version, Optional.of(previous.snapshot()));
		}
		RevisionCodec.snapshot(proposal.text());
		return new RevisionHeader(version, proposal.author(), proposal.reason(), now(),
				RevisionHeader.digest(proposal.text()), previous.snapshotVersion(), previous.snapshot(),
				Optional.of(delta), Optional.empty());
	}

	private RevisionHeader snapshotHeader(Proposal proposal, long version, Optional<String> replacedSnapshot) {
		String digest = RevisionHeader.digest(proposal.text());
		return new RevisionHeader(version, proposal.author(), proposal.reason(), now(), digest, version,
				RevisionReader.snapshotName(version, digest), Optional.empty(), replacedSnapshot);
	}

	private Instant now() {
		return this.clock.instant().truncatedTo(ChronoUnit.MILLIS);
	}

	private CompletableFuture<Boolean> writeSnapshot(RevisionHeader created, Proposal proposal) {
		if (created.delta().isPresent()) {
			return CompletableFuture.completedFuture(true);
		}
		return createOnce(ObjectKey.of(Kind.CONFIG, created.snapshot()), RevisionCodec.snapshot(proposal.text()),
				RevisionReader.SNAPSHOT_LABELS);
	}

	private CompletableFuture<Boolean> archive(Stored seen, RevisionHeader header) {
		return createOnce(RevisionReader.changeKey(header.version()), seen.text(), RevisionReader.HISTORY_LABELS);
	}

	private CompletableFuture<Boolean> createOnce(ObjectKey key, String value, Labels labels) {
		return this.writer.create(key, value, labels).handle((stored, failure) -> {
			if (failure == null || isConflict(failure)) {
				return CompletableFuture.completedFuture(true);
			}
			return CompletableFuture.<Boolean>failedFuture(failure);
		}).thenCompose((future) -> future);
	}

	private CompletableFuture<Revision> resolve(RevisionHeader created, Throwable failure, Proposal proposal) {
		if (failure == null) {
			return CompletableFuture.completedFuture(created.toRevision(proposal.text()));
		}
		if (isUnknown(failure)) {
			return findAccepted(created, failure, proposal);
		}
		if (!isConflict(failure)) {
			return CompletableFuture.failedFuture(failure);
		}
		return newest().thenCompose((newest) -> newest.isPresent() ? conflict(newest.get(), proposal)
				: CompletableFuture.failedFuture(failure));
	}

	/**
	 * Checks whether a write with unknown outcome was applied. Another operator may
	 * already have replaced the revision, so its header is looked up in the history too;
	 * otherwise an accepted change would be reported as failed.
	 * @param created the header that was written
	 * @param failure the failure of the write
	 * @param proposal the proposal that was written
	 * @return the revision if it was accepted; otherwise fails with {@code failure}
	 */
	private CompletableFuture<Revision> findAccepted(RevisionHeader created, Throwable failure, Proposal proposal) {
		return this.store.read(NEWEST)
			.thenCombine(this.store.read(RevisionReader.changeKey(created.version())),
					(newest, kept) -> Stream.of(newest, kept)
						.flatMap(Optional::stream)
						.map(ContractRepository::header)
						.anyMatch(created::equals))
			.thenCompose((accepted) -> accepted ? CompletableFuture.completedFuture(created.toRevision(proposal.text()))
					: CompletableFuture.failedFuture(failure));
	}

	private static boolean isUnknown(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_OUTCOME_UNKNOWN).isPresent();
	}

	private static boolean isConflict(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_CONFLICT).isPresent();
	}

	private CompletableFuture<Revision> conflict(Revision newest, Proposal proposal) {
		return revision(proposal.baseVersion()).thenCompose((base) -> CompletableFuture
			.failedFuture(new ConfigException(ErrorCode.CONFIG_CONFLICT, conflictMessage(base, newest, proposal))));
	}

	private static String conflictMessage(Optional<Revision> base, Revision newest, Proposal proposal) {
		Optional<Contract> edited = base.map(ContractRepository::contract);
		String otherChanges = changes(edited, contract(newest));
		String ownChanges = changes(edited, Contract.parse(proposal.baseVersion() + 1, proposal.text()));
		return proposal.author() + " edited version " + proposal.baseVersion() + ", but " + newest.title()
				+ " was accepted since; " + newest.author() + " changed: " + otherChanges + "; " + proposal.author()
				+ " changes: " + ownChanges;
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
	 * Deletes the revision that falls out of the retained history. A snapshot is deleted
	 * together with the header that replaced it, since no retained revision needs it
	 * after that. The headers from which the oldest retained text is restored are kept.
	 * @param accepted the newest revision
	 * @param retained the number of revisions to retain
	 * @return the newest revision, also if the deletion fails
	 */
	private CompletableFuture<Revision> pruneHistory(Revision accepted, int retained) {
		long last = accepted.version() - retained - RevisionReader.MAX_CHAIN_LENGTH;
		if (last <= 0) {
			return CompletableFuture.completedFuture(accepted);
		}
		return this.store.read(RevisionReader.changeKey(last))
			.thenCompose(
					(found) -> found.map(this::removeChange).orElseGet(() -> CompletableFuture.completedFuture(false)))
			.handle((deleted, failure) -> accepted);
	}

	private CompletableFuture<Boolean> removeChange(Stored change) {
		CompletableFuture<Boolean> snapshot = header(change).replacedSnapshot()
			.map((name) -> this.store.read(ObjectKey.of(Kind.CONFIG, name))
				.thenCompose((found) -> found.map((stored) -> this.store.delete(stored.key(), stored.version()))
					.orElseGet(() -> CompletableFuture.completedFuture(false))))
			.orElseGet(() -> CompletableFuture.completedFuture(false));
		return snapshot.thenCompose((deleted) -> this.store.delete(change.key(), change.version()));
	}

}
