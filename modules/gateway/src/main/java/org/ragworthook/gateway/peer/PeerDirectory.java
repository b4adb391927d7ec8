package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.RecordStore;
import org.ragworthook.core.time.Timers;

/**
 * Makes the processes known to each other through the platform's store. Each writes its
 * address once when it starts and reads the others'; a process that came later is known
 * by the report that it sends.
 */
public final class PeerDirectory {

	private static final EventLog LOG = EventLog.of(PeerDirectory.class);

	private static final Duration AGAIN = Duration.ofMillis(500);

	private final RecordStore store;

	private final ConditionalWriter writer;

	private final AddressLister listing;

	private final LoadExchange exchange;

	private final PeerIdentity self;

	private final Timers timers;

	private PeerDirectory(RecordStore store, ConditionalWriter writer, AddressLister listing, LoadExchange exchange,
			PeerIdentity self, Timers timers) {
		this.store = store;
		this.writer = writer;
		this.listing = listing;
		this.exchange = exchange;
		this.self = self;
		this.timers = timers;
	}

	/**
	 * Makes this process known and looks for the others, until both have succeeded.
	 * @param store the platform's store
	 * @param writer writes to it
	 * @param listing lists the addresses that are written
	 * @param exchange is told of the others
	 * @param self this process
	 * @param timers runs tasks later
	 */
	public static void join(RecordStore store, ConditionalWriter writer, AddressLister listing, LoadExchange exchange,
			PeerIdentity self, Timers timers) {
		new PeerDirectory(Objects.requireNonNull(store, "store is null"),
				Objects.requireNonNull(writer, "writer is null"), Objects.requireNonNull(listing, "listing is null"),
				Objects.requireNonNull(exchange, "exchange is null"), Objects.requireNonNull(self, "self is null"),
				Objects.requireNonNull(timers, "timers is null"))
			.register();
	}

	private void register() {
		ObjectKey key = ObjectKey.of(Kind.STATUS, this.self.instance());
		String address = this.self.address().toString();
		this.writer.create(key, address, Labels.empty())
			.handle((stored, failure) -> (failure != null) ? replace(key, address)
					: CompletableFuture.completedFuture(true))
			.thenCompose((done) -> done)
			.whenComplete((done, failure) -> {
				if (failure != null) {
					LOG.warning("peer_not_registered", "error", Failures.root(failure));
					this.timers.schedule(AGAIN, this::register);
				}
				else {
					look();
				}
			});
	}

	private CompletableFuture<Boolean> replace(ObjectKey key, String address) {
		return this.store.read(key).thenCompose((found) -> {
			if (found.isEmpty() || found.get().text().equals(address)) {
				return CompletableFuture.completedFuture(true);
			}
			return this.writer.update(found.get(), address).thenApply((stored) -> true);
		});
	}

	private void look() {
		this.listing.addresses().whenComplete((addresses, failure) -> {
			if (failure != null) {
				LOG.warning("peers_not_listed", "error", Failures.root(failure));
				this.timers.schedule(AGAIN, this::look);
				return;
			}
			LOG.info("peers_listed", "peers", addresses.size());
			addresses.forEach(this.exchange::introduce);
			this.exchange.introduced();
		});
	}

	/**
	 * Lists the addresses of all processes.
	 */
	@FunctionalInterface
	public interface AddressLister {

		/**
		 * Lists.
		 * @return the addresses that processes have written
		 */
		CompletableFuture<List<Address>> addresses();

	}

}
