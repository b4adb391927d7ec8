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
 * The newest revision is one object, replaced by conditional write, so of two operators
 * who edited the same version only one is accepted and the other is told who came first.
 * Before a revision is replaced it is copied into the history. Should the entry stop
 * between the two writes, the copy is there already and the next change finds it; the
 * history plus the newest revision has no gap at any moment.
 */
public final class ContractRegister {

	/** The object that holds the newest revision. */
	public static final ObjectKey NEWEST = ObjectKey.of(Kind.CONFIG, "contract");

	/** Selects the newest revision in a watch. */
	public static final Labels NEWEST_LABELS = Labels.of("part", "newest");

	private static final Labels HISTORY_LABELS = Labels.of("part", "history");

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private ContractRegister(ObjectStore store, ConditionalWriter writer, InstantSource clock) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
		this.clock = Objects.requireNonNull(clock, "clock is null");
	}

	/**
	 * Returns a register.
	 * @param store where revisions are kept
	 * @param writer writes them
	 * @param clock tells when a text is accepted
	 * @return the register
	 */
	public static ContractRegister of(ObjectStore store, ConditionalWriter writer, InstantSource clock) {
		return new ContractRegister(store, writer, clock);
	}

	// -- reading

	/**
	 * Reads the newest revision.
	 * @return the revision, or empty if no text was accepted yet
	 */
	public CompletableFuture<Optional<Revision>> newest() {
		return this.store.read(NEWEST).thenApply((found) -> found.map(ContractRegister::revision));
	}

	/**
	 * Reads one revision.
	 * @param version which one
	 * @return the revision, or empty if there is none or it is no longer kept
	 */
	public CompletableFuture<Optional<Revision>> revision(long version) {
		return newest().thenCompose((newest) -> {
			if (newest.filter((present) -> present.version() == version).isPresent()) {
				return CompletableFuture.completedFuture(newest);
			}
			return this.store.read(historyKey(version)).thenApply((found) -> found.map(ContractRegister::revision));
		});
	}

	/**
	 * Reads all revisions that are kept.
	 * @return the revisions, newest first
	 */
	public CompletableFuture<List<Revision>> history() {
		return this.store.list(Kind.CONFIG, HISTORY_LABELS).thenCombine(newest(), ContractRegister::newestFirst);
	}

	private static List<Revision> newestFirst(Listing listing, Optional<Revision> newest) {
		List<Revision> revisions = new ArrayList<>();
		listing.objects().forEach((stored) -> revisions.add(revision(stored)));
		newest.filter((present) -> revisions.stream().noneMatch((old) -> old.version() == present.version()))
			.ifPresent(revisions::add);
		revisions.sort(Comparator.comparingLong(Revision::version).reversed());
		return revisions;
	}

	private static Revision revision(Stored stored) {
		return RevisionCodec.decode(stored.text());
	}

	private static ObjectKey historyKey(long version) {
		return ObjectKey.of(Kind.CONFIG, String.format("change-%012d", version));
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
	public CompletableFuture<Revision> accept(Proposal proposal, long inForce, OpenWork open) {
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

	private static Contract valid(Proposal proposal, OpenWork open) {
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
		Revision fresh = next(proposal, inForce);
		return this.writer.create(NEWEST, RevisionCodec.encode(fresh), NEWEST_LABELS)
			.handle((stored, failure) -> settle(stored, failure, proposal))
			.thenCompose((settled) -> settled);
	}

	private CompletableFuture<Revision> replace(Stored seen, Proposal proposal, long inForce) {
		Revision newest = revision(seen);
		if (isResubmission(newest, proposal)) {
			return CompletableFuture.completedFuture(newest);
		}
		if (newest.version() != proposal.base()) {
			return conflict(newest, proposal);
		}
		String value = RevisionCodec.encode(next(proposal, Math.max(inForce, newest.version())));
		return keep(seen, newest).thenCompose((kept) -> this.writer.update(seen, value))
			.handle((stored, failure) -> settle(stored, failure, proposal))
			.thenCompose((settled) -> settled);
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

	private Revision next(Proposal proposal, long above) {
		Instant now = this.clock.instant().truncatedTo(ChronoUnit.MILLIS);
		return new Revision(above + 1, proposal.author(), proposal.reason(), now, proposal.text());
	}

	private CompletableFuture<Boolean> keep(Stored seen, Revision newest) {
		return this.writer.create(historyKey(newest.version()), seen.text(), HISTORY_LABELS)
			.handle((stored, failure) -> {
				if (failure == null || isConflict(failure)) {
					return CompletableFuture.completedFuture(true);
				}
				return CompletableFuture.<Boolean>failedFuture(failure);
			})
			.thenCompose((settled) -> settled);
	}

	private CompletableFuture<Revision> settle(Stored stored, Throwable failure, Proposal proposal) {
		if (failure == null) {
			return CompletableFuture.completedFuture(revision(stored));
		}
		if (!isConflict(failure)) {
			return CompletableFuture.failedFuture(failure);
		}
		return newest().thenCompose((newest) -> newest.isPresent() ? conflict(newest.get(), proposal)
				: CompletableFuture.failedFuture(failure));
	}

	private static boolean isConflict(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_CONFLICT).isPresent();
	}

	private CompletableFuture<Revision> conflict(Revision newest, Proposal proposal) {
		return revision(proposal.base()).thenCompose((base) -> CompletableFuture
			.failedFuture(new ConfigException(ErrorCode.CONFIG_CONFLICT, words(base, newest, proposal))));
	}

	private static String words(Optional<Revision> base, Revision newest, Proposal proposal) {
		Optional<Contract> edited = base.map(ContractRegister::contract);
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
		List<Change> changes = ContractDiff.between(before, after);
		return changes.isEmpty() ? "nothing but comments"
				: changes.stream().map(Change::words).collect(Collectors.joining(", "));
	}

	private CompletableFuture<Revision> forget(Revision accepted, int kept) {
		if (accepted.version() <= kept) {
			return CompletableFuture.completedFuture(accepted);
		}
		return this.store.read(historyKey(accepted.version() - kept))
			.thenCompose((found) -> found.isPresent() ? this.store.delete(found.get().key(), found.get().version())
					: CompletableFuture.completedFuture(false))
			.handle((gone, failure) -> accepted);
	}

}
