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
 * Discovers the peers through the platform's store. Each process writes its address once
 * when it starts and then lists the addresses of the others. A process that starts later
 * becomes known by the reports that it sends.
 */
public final class PeerDirectory {

	private static final EventLog LOG = EventLog.of(PeerDirectory.class);

	private static final Duration RETRY_DELAY = Duration.ofMillis(500);

	private final RecordStore store;

	private final ConditionalWriter writer;

	private final AddressLister lister;

	private final LoadExchange exchange;

	private final PeerIdentity self;

	private final Timers timers;

	private PeerDirectory(RecordStore store, ConditionalWriter writer, AddressLister lister, LoadExchange exchange,
			PeerIdentity self, Timers timers) {
		this.store = store;
		this.writer = writer;
		this.lister = lister;
		this.exchange = exchange;
		this.self = self;
		this.timers = timers;
	}

	/**
	 * Registers the address of this process and adds its peers to an exchange, retrying
	 * until both have succeeded.
	 * @param store the platform's store
	 * @param writer writes to the store
	 * @param lister lists the registered addresses
	 * @param exchange the exchange to which the peers are added
	 * @param self the identity of this process
	 * @param timers schedules the retries
	 */
	public static void join(RecordStore store, ConditionalWriter writer, AddressLister lister, LoadExchange exchange,
			PeerIdentity self, Timers timers) {
		new PeerDirectory(Objects.requireNonNull(store, "store is null"),
				Objects.requireNonNull(writer, "writer is null"), Objects.requireNonNull(lister, "lister is null"),
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
					this.timers.schedule(RETRY_DELAY, this::register);
				}
				else {
					listPeers();
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

	private void listPeers() {
		this.lister.addresses().whenComplete((addresses, failure) -> {
			if (failure != null) {
				LOG.warning("peers_not_listed", "error", Failures.root(failure));
				this.timers.schedule(RETRY_DELAY, this::listPeers);
				return;
			}
			LOG.info("peers_listed", "peers", addresses.size());
			addresses.forEach(this.exchange::addPeer);
			this.exchange.allPeersAdded();
		});
	}

	/**
	 * Lists the registered addresses of all processes.
	 */
	@FunctionalInterface
	public interface AddressLister {

		/**
		 * Reads the registered addresses.
		 * @return the addresses, that of this process included
		 */
		CompletableFuture<List<Address>> addresses();

	}

}
