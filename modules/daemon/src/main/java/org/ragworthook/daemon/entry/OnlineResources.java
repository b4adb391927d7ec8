package org.ragworthook.daemon.entry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.ragworthook.core.admission.AccountGate;
import org.ragworthook.core.contract.Account;
import org.ragworthook.core.contract.Service;
import org.ragworthook.core.quarantine.CrashRecord;
import org.ragworthook.core.quarantine.Quarantine;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.http.Metrics;

/**
 * Resources shared by all online requests of an entry.
 */
final class OnlineResources {

	private final UpstreamDirectory directory;

	private final Quarantine quarantine;

	private final Consumer<CrashRecord> crashListener;

	private final ErrorResponses errors;

	private final Metrics metrics;

	private final Ticker ticker = Ticker.system();

	private final AccountGates accountGates;

	private final Map<String, ServiceResources> services = new ConcurrentHashMap<>();

	private final Set<OnlineExchange> inProgress = ConcurrentHashMap.newKeySet();

	private volatile boolean refusing;

	private volatile RequestClaims claims = RequestClaims.refusing();

	private volatile CompletableFuture<Void> drained;

	OnlineResources(UpstreamDirectory directory, Quarantine quarantine, Consumer<CrashRecord> crashListener,
			ErrorResponses errors, Metrics metrics) {
		this.directory = Objects.requireNonNull(directory, "directory is null");
		this.quarantine = Objects.requireNonNull(quarantine, "quarantine is null");
		this.crashListener = Objects.requireNonNull(crashListener, "crashListener is null");
		this.errors = Objects.requireNonNull(errors, "errors is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
		this.accountGates = new AccountGates(this.ticker, directory::entries);
	}

	ServiceResources service(String name) {
		ServiceResources existing = this.services.get(name);
		return (existing != null) ? existing : this.services.computeIfAbsent(name,
				(service) -> ServiceResources.of(this.ticker, this.directory.router(service)));
	}

	Optional<Sidecar> sidecar(Upstream upstream) {
		return this.directory.sidecar(upstream);
	}

	AccountGate accountGate(Account account) {
		return this.accountGates.of(account);
	}

	/**
	 * Returns the first dependency of a service that has no upstream.
	 * @param service the dependent service
	 * @return the name of the unavailable dependency, or empty if all have upstreams
	 */
	Optional<String> unavailableDependency(Service service) {
		return service.dependsOn()
			.stream()
			.filter((name) -> this.directory.router(name).table().size() == 0)
			.findFirst();
	}

	RequestClaims claims() {
		return this.claims;
	}

	void claims(RequestClaims newClaims) {
		this.claims = Objects.requireNonNull(newClaims, "newClaims is null");
	}

	Quarantine quarantine() {
		return this.quarantine;
	}

	void recordCrash(String fingerprint, int inFlight) {
		this.quarantine.recordCrash(fingerprint, inFlight).ifPresent(this.crashListener);
	}

	void sweep() {
		this.services.values().forEach((service) -> service.queue().sweep());
	}

	// -- requests in progress

	void requestStarted(OnlineExchange exchange) {
		this.inProgress.add(exchange);
	}

	void requestEnded(OnlineExchange exchange) {
		this.inProgress.remove(exchange);
		CompletableFuture<Void> future = this.drained;
		if (future != null && this.inProgress.isEmpty()) {
			future.complete(null);
		}
	}

	/**
	 * Has new requests refused.
	 */
	void refuseRequests() {
		this.refusing = true;
	}

	/**
	 * Returns whether new requests are refused.
	 * @return whether the entry is about to stop
	 */
	boolean refusing() {
		return this.refusing;
	}

	/**
	 * Answers all requests in progress, as far as their responses have not begun.
	 */
	void endRequests() {
		refuseRequests();
		this.inProgress.forEach(OnlineExchange::stop);
	}

	/**
	 * Waits until no request is in progress.
	 * @return a future that completes when the last request in progress has ended
	 */
	CompletableFuture<Void> drain() {
		CompletableFuture<Void> future = new CompletableFuture<>();
		this.drained = future;
		if (this.inProgress.isEmpty()) {
			future.complete(null);
		}
		return future;
	}

	int inProgress() {
		return this.inProgress.size();
	}

	ErrorResponses errors() {
		return this.errors;
	}

	Metrics metrics() {
		return this.metrics;
	}

	Ticker ticker() {
		return this.ticker;
	}

}
