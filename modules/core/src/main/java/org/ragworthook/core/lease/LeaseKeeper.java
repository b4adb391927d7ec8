package org.ragworthook.core.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Ticker;

/**
 * Acquires, renews and releases one lease.
 * <p>
 * A holder that was paused may resume after its lease has been taken over; if it
 * continued as the holder, work would be done twice. The holder therefore measures the
 * validity of its lease from before the write was sent, and stops a tenth of the period
 * early. Another process waits until the record has been unchanged for a whole period,
 * measured on its own monotonic clock from when it first saw the record. The holder thus
 * always stops first, without synchronized clocks. What this cannot prevent, such as a
 * thread paused between the check and the sending, is rejected by means of the epoch.
 */
public final class LeaseKeeper {

	private static final long SAFETY_MARGIN_DIVISOR = 10;

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final Ticker ticker;

	private final String name;

	private final String holder;

	private final Duration period;

	private final Labels labels;

	private final AtomicReference<View> view = new AtomicReference<>(View.UNKNOWN);

	private final AtomicBoolean writing = new AtomicBoolean();

	private volatile CompletableFuture<?> lastWrite = CompletableFuture.completedFuture(null);

	private volatile boolean releasing;

	private LeaseKeeper(Builder builder, String name, Labels labels) {
		this.store = builder.store;
		this.writer = ConditionalWriter.of(builder.store, builder.stamps);
		this.ticker = builder.ticker;
		this.holder = builder.stamps.writer();
		this.period = builder.period;
		this.name = Objects.requireNonNull(name, "name is null");
		this.labels = Objects.requireNonNull(labels, "labels is null");
	}

	/**
	 * Returns a builder of keepers.
	 * @param store the store that holds the leases
	 * @param stamps the marks that identify this process's writes; the writer name is the
	 * id of the holder
	 * @param ticker the monotonic clock
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, Ticker ticker) {
		return new Builder(store, stamps, ticker);
	}

	/**
	 * Returns the name of the lease.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the lease while this keeper holds it.
	 * @return the lease, or empty if it is not held or its validity has ended
	 */
	public Optional<Lease> held() {
		View now = this.view.get();
		boolean valid = !this.releasing && this.ticker.nanos() - now.validUntilNanos() < 0;
		return valid ? now.ownLease() : Optional.empty();
	}

	/**
	 * Returns whether the lease may be acquired now.
	 * @return whether the record was read and is absent, released, written by this holder
	 * earlier, or unchanged for a whole period
	 */
	public boolean available() {
		View now = this.view.get();
		if (!now.known() || now.ownLease().isPresent()) {
			return false;
		}
		return now.lease(this.name)
			.map((lease) -> lease.released() || lease.holder().equals(this.holder) || unchanged(now, lease))
			.orElse(true);
	}

	private boolean unchanged(View now, Lease lease) {
		return this.ticker.nanos() - now.firstSeenNanos() >= lease.period().toNanos();
	}

	/**
	 * Reads the record from the store.
	 * @return completes when the record has been read and processed
	 */
	public CompletableFuture<Void> refresh() {
		return this.store.read(Lease.key(this.name)).thenAccept(this::observe);
	}

	/**
	 * Processes a record that was just read, by this keeper or as part of a list.
	 * @param found the record, or empty if there is none
	 */
	public void observe(Optional<Stored> found) {
		long now = this.ticker.nanos();
		this.view.updateAndGet((lastSeen) -> lastSeen.observed(found, now));
	}

	/**
	 * Acquires the lease if it is available.
	 * @return the lease, or empty if it was not available or another process acquired it
	 * first; fails if the platform did not accept the write
	 */
	public CompletableFuture<Optional<Lease>> acquire() {
		return exclusively(this::acquireExclusively, Optional::empty);
	}

	private CompletableFuture<Optional<Lease>> acquireExclusively() {
		if (!available()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		View lastSeen = this.view.get();
		Lease next = lastSeen.lease(this.name)
			.orElseGet(() -> new Lease(this.name, 0, "", this.period))
			.acquiredBy(this.holder, this.period);
		return write(lastSeen.object(), next).thenApply((done) -> held());
	}

	/**
	 * Renews the lease. A holder whose validity has ended may renew as well: if the
	 * record is still its own, no other process has acquired the lease.
	 * @return whether the lease is held; fails if the platform did not accept the write
	 */
	public CompletableFuture<Boolean> renew() {
		return exclusively(() -> {
			View lastSeen = this.view.get();
			if (lastSeen.ownLease().isEmpty()) {
				return CompletableFuture.completedFuture(false);
			}
			return write(lastSeen.object(), lastSeen.ownLease().get());
		}, () -> held().isPresent());
	}

	/**
	 * Releases the lease, so that another process can acquire it immediately. The keeper
	 * stops holding the lease before the write is sent, and waits for a renewal in
	 * progress, which would otherwise reinstate the lease.
	 * @return completes when the write has succeeded or failed; after a failure the lease
	 * expires at the end of its period
	 */
	public CompletableFuture<Void> release() {
		this.releasing = true;
		return this.lastWrite.handle((done, failure) -> null)
			.thenCompose((done) -> writeRelease())
			.whenComplete((done, failure) -> this.releasing = false);
	}

	private CompletableFuture<Void> writeRelease() {
		View lastSeen = this.view.getAndUpdate(View::withoutOwnLease);
		if (lastSeen.ownLease().isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.writer.update(lastSeen.object().orElseThrow(), lastSeen.ownLease().get().asReleased().text())
			.handle((stored, failure) -> {
				if (failure == null) {
					observe(Optional.of(stored));
				}
				return null;
			});
	}

	private CompletableFuture<Boolean> write(Optional<Stored> lastSeen, Lease next) {
		long sentNanos = this.ticker.nanos();
		long validUntilNanos = sentNanos + this.period.toNanos() - this.period.toNanos() / SAFETY_MARGIN_DIVISOR;
		CompletableFuture<Stored> written = lastSeen.map((object) -> this.writer.update(object, next.text()))
			.orElseGet(() -> this.writer.create(Lease.key(this.name), next.text(), this.labels));
		return written.handle((stored, failure) -> {
			if (failure == null) {
				updateView((view) -> view.held(stored, next, sentNanos, validUntilNanos));
				return CompletableFuture.completedFuture(true);
			}
			ErrorCode code = ConditionalWriter.codeOf(failure).orElse(ErrorCode.INTERNAL);
			if (code == ErrorCode.STORE_CONFLICT) {
				updateView((view) -> View.UNKNOWN);
				return CompletableFuture.completedFuture(false);
			}
			if (code == ErrorCode.STORE_OUTCOME_UNKNOWN) {
				// If the write turns out to have succeeded, this holder acquires the
				// lease again.
				updateView((view) -> view.ownLease().isEmpty() ? View.UNKNOWN : view);
			}
			return CompletableFuture.<Boolean>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	private void updateView(UnaryOperator<View> update) {
		this.view.updateAndGet(update);
	}

	private <T> CompletableFuture<T> exclusively(Supplier<CompletableFuture<T>> step, Supplier<T> otherwise) {
		if (this.releasing || !this.writing.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(otherwise.get());
		}
		CompletableFuture<T> write = step.get().whenComplete((result, failure) -> this.writing.set(false));
		this.lastWrite = write;
		return write;
	}

	/**
	 * The keeper's view of the record.
	 *
	 * @param known whether the record has been read
	 * @param object the last seen record, or empty if there was none
	 * @param firstSeenNanos the ticker's reading when this version was first seen
	 * @param ownLease the lease, if this keeper wrote the version seen
	 * @param validUntilNanos the ticker's reading until which this keeper holds the lease
	 */
	private record View(boolean known, Optional<Stored> object, long firstSeenNanos, Optional<Lease> ownLease,
			long validUntilNanos) {

		private static final View UNKNOWN = new View(false, Optional.empty(), 0, Optional.empty(), 0);

		Optional<Lease> lease(String name) {
			return this.object.map((stored) -> Lease.parse(name, stored.text()));
		}

		View observed(Optional<Stored> found, long now) {
			long newest = this.object.map(Stored::version).orElse(-1L);
			if (found.isPresent() && found.get().version() <= newest) {
				return this;
			}
			if (found.isEmpty() && this.known && this.object.isEmpty()) {
				return this;
			}
			if (found.isPresent() && this.ownLease.isPresent() && isRenewal(found.get())) {
				return new View(true, found, now, this.ownLease, this.validUntilNanos);
			}
			return new View(true, found, now, Optional.empty(), now);
		}

		// A list may contain this keeper's own renewal before the response to the write
		// arrives.
		private boolean isRenewal(Stored found) {
			return found.text().equals(this.ownLease.get().text());
		}

		View held(Stored stored, Lease lease, long sentNanos, long validUntilNanos) {
			boolean outdated = this.object.filter((object) -> object.version() > stored.version()).isPresent();
			return outdated ? this
					: new View(true, Optional.of(stored), sentNanos, Optional.of(lease), validUntilNanos);
		}

		View withoutOwnLease() {
			return new View(this.known, this.object, this.firstSeenNanos, Optional.empty(), this.firstSeenNanos);
		}

	}

	/**
	 * Builds keepers that share a store, a holder and a period.
	 */
	public static final class Builder {

		private final ObjectStore store;

		private final Stamps stamps;

		private final Ticker ticker;

		private Duration period = Duration.ofSeconds(6);

		private Builder(ObjectStore store, Stamps stamps, Ticker ticker) {
			this.store = Objects.requireNonNull(store, "store is null");
			this.stamps = Objects.requireNonNull(stamps, "stamps is null");
			this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		}

		/**
		 * Sets how long a lease is valid after its last write.
		 * @param period the period; the default is 6 s
		 * @return this builder
		 */
		public Builder period(Duration period) {
			this.period = Objects.requireNonNull(period, "period is null");
			return this;
		}

		/**
		 * Builds a keeper.
		 * @param name the name of the lease
		 * @return the keeper
		 */
		public LeaseKeeper build(String name) {
			return build(name, Labels.empty());
		}

		/**
		 * Builds a keeper whose record can be listed by labels.
		 * @param name the name of the lease
		 * @param labels the labels of the record
		 * @return the keeper
		 */
		public LeaseKeeper build(String name, Labels labels) {
			return new LeaseKeeper(this, name, labels);
		}

	}

}
