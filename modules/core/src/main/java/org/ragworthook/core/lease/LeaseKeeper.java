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
 * Takes, renews and releases one lease.
 * <p>
 * A holder that was paused can wake up after its lease was taken over. It would go on in
 * the belief to be in charge, and one would see work sent out twice. Therefore the holder
 * counts its time from before its write was sent and gives up a tenth of the period
 * early, while a taker counts a whole period in which the record did not change, on its
 * own monotonic clock, from when it first saw the record. The order of the two does not
 * depend on the clocks of two instances being set alike. What the belief cannot keep out
 * (a thread halted between a check and the sending) is refused by the epoch.
 */
public final class LeaseKeeper {

	private static final long EARLY = 10;

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

	private volatile boolean resigned;

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
	 * @param store where the leases are
	 * @param stamps marks each write; the name of its writer is the holder's identity
	 * @param ticker the monotonic clock
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, Ticker ticker) {
		return new Builder(store, stamps, ticker);
	}

	/**
	 * Returns what the lease is for.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the lease, as long as this keeper may believe that it holds it.
	 * @return the lease, or empty
	 */
	public Optional<Lease> held() {
		View now = this.view.get();
		boolean believed = !this.resigned && this.ticker.nanos() - now.until() < 0;
		return believed ? now.own() : Optional.empty();
	}

	/**
	 * Tells whether the lease may be taken now.
	 * @return whether it is known to be absent, released, left over from this holder, or
	 * unchanged for a whole period
	 */
	public boolean available() {
		View now = this.view.get();
		if (!now.known() || now.own().isPresent()) {
			return false;
		}
		return now.lease(this.name)
			.map((lease) -> lease.released() || lease.holder().equals(this.holder) || unchanged(now, lease))
			.orElse(true);
	}

	private boolean unchanged(View now, Lease lease) {
		return this.ticker.nanos() - now.since() >= lease.period().toNanos();
	}

	/**
	 * Reads the record.
	 * @return completes when the record was taken note of
	 */
	public CompletableFuture<Void> refresh() {
		return this.store.read(Lease.key(this.name)).thenAccept(this::observe);
	}

	/**
	 * Takes note of the record as it was just read, by this keeper or with others in a
	 * list.
	 * @param found the record, or empty if there is none
	 */
	public void observe(Optional<Stored> found) {
		long now = this.ticker.nanos();
		this.view.updateAndGet((last) -> last.observed(found, now));
	}

	/**
	 * Takes the lease, if it is free.
	 * @return the lease, or empty if it was not free or another came first; fails if the
	 * platform did not take the write
	 */
	public CompletableFuture<Optional<Lease>> acquire() {
		return alone(this::acquireAlone, Optional::empty);
	}

	private CompletableFuture<Optional<Lease>> acquireAlone() {
		if (!available()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		View last = this.view.get();
		Lease next = last.lease(this.name)
			.orElseGet(() -> new Lease(this.name, 0, "", this.period))
			.acquiredBy(this.holder, this.period);
		return write(last.object(), next).thenApply((done) -> held());
	}

	/**
	 * Renews the lease. A holder whose time has run out may try, too: if the record is
	 * still its own, nobody has taken over.
	 * @return whether the lease is held; fails if the platform did not take the write
	 */
	public CompletableFuture<Boolean> renew() {
		return alone(() -> {
			View last = this.view.get();
			if (last.own().isEmpty()) {
				return CompletableFuture.completedFuture(false);
			}
			return write(last.object(), last.own().get());
		}, () -> held().isPresent());
	}

	/**
	 * Releases the lease, so that another may take it at once. The keeper stops believing
	 * before the write is sent, and lets a renewal under way come first, which would
	 * otherwise revive the lease.
	 * @return completes when the write has taken effect or failed; a release that failed
	 * is made up for by the period
	 */
	public CompletableFuture<Void> release() {
		this.resigned = true;
		return this.lastWrite.handle((done, failure) -> null)
			.thenCompose((done) -> giveBack())
			.whenComplete((done, failure) -> this.resigned = false);
	}

	private CompletableFuture<Void> giveBack() {
		View last = this.view.getAndUpdate(View::resigned);
		if (last.own().isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.writer.update(last.object().orElseThrow(), last.own().get().asReleased().text())
			.handle((stored, failure) -> {
				if (failure == null) {
					observe(Optional.of(stored));
				}
				return null;
			});
	}

	private CompletableFuture<Boolean> write(Optional<Stored> last, Lease next) {
		long sent = this.ticker.nanos();
		long until = sent + this.period.toNanos() - this.period.toNanos() / EARLY;
		CompletableFuture<Stored> written = last.map((object) -> this.writer.update(object, next.text()))
			.orElseGet(() -> this.writer.create(Lease.key(this.name), next.text(), this.labels));
		return written.handle((stored, failure) -> {
			if (failure == null) {
				change((view) -> view.held(stored, next, sent, until));
				return CompletableFuture.completedFuture(true);
			}
			ErrorCode code = ConditionalWriter.codeOf(failure).orElse(ErrorCode.INTERNAL);
			if (code == ErrorCode.STORE_CONFLICT) {
				change((view) -> View.UNKNOWN);
				return CompletableFuture.completedFuture(false);
			}
			if (code == ErrorCode.STORE_OUTCOME_UNKNOWN) {
				// A record that turns out to bear this holder's name is taken anew.
				change((view) -> view.own().isEmpty() ? View.UNKNOWN : view);
			}
			return CompletableFuture.<Boolean>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	private void change(UnaryOperator<View> step) {
		this.view.updateAndGet(step);
	}

	private <T> CompletableFuture<T> alone(Supplier<CompletableFuture<T>> step, Supplier<T> otherwise) {
		if (this.resigned || !this.writing.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(otherwise.get());
		}
		CompletableFuture<T> write = step.get().whenComplete((result, failure) -> this.writing.set(false));
		this.lastWrite = write;
		return write;
	}

	/**
	 * What a keeper knows.
	 *
	 * @param known whether the record has been read
	 * @param object the record as last seen, or empty if there was none
	 * @param since when this version was first seen, by the ticker
	 * @param own the lease, if this keeper wrote the version seen
	 * @param until until when the keeper believes, by the ticker
	 */
	private record View(boolean known, Optional<Stored> object, long since, Optional<Lease> own, long until) {

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
			if (found.isPresent() && this.own.isPresent() && isRenewal(found.get())) {
				return new View(true, found, now, this.own, this.until);
			}
			return new View(true, found, now, Optional.empty(), now);
		}

		// A list may show this keeper's own renewal before the answer to it arrives.
		private boolean isRenewal(Stored found) {
			return found.text().equals(this.own.get().text());
		}

		View held(Stored stored, Lease lease, long sent, long end) {
			boolean overtaken = this.object.filter((object) -> object.version() > stored.version()).isPresent();
			return overtaken ? this : new View(true, Optional.of(stored), sent, Optional.of(lease), end);
		}

		View resigned() {
			return new View(this.known, this.object, this.since, Optional.empty(), this.since);
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
		 * Sets how long a lease holds after its last write.
		 * @param period the period, 6 s if not set
		 * @return this builder
		 */
		public Builder period(Duration period) {
			this.period = Objects.requireNonNull(period, "period is null");
			return this;
		}

		/**
		 * Builds a keeper.
		 * @param name what the lease is for
		 * @return the keeper
		 */
		public LeaseKeeper build(String name) {
			return build(name, Labels.empty());
		}

		/**
		 * Builds a keeper whose lease can be listed by labels.
		 * @param name what the lease is for
		 * @param labels the labels of its record
		 * @return the keeper
		 */
		public LeaseKeeper build(String name, Labels labels) {
			return new LeaseKeeper(this, name, labels);
		}

	}

}
