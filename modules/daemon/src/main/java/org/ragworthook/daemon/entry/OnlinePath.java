package org.ragworthook.daemon.entry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
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
 * What all online requests of an entry share.
 */
final class OnlinePath {

	private final UpstreamDirectory directory;

	private final Quarantine quarantine;

	private final Consumer<CrashRecord> convicted;

	private final ErrorResponses errors;

	private final Metrics metrics;

	private final Ticker ticker = Ticker.system();

	private final AccountGates accounts;

	private final Map<String, ServicePath> services = new ConcurrentHashMap<>();

	private final AtomicInteger inProgress = new AtomicInteger();

	private volatile RequestClaims claims = RequestClaims.refusing();

	private volatile CompletableFuture<Void> drained;

	OnlinePath(UpstreamDirectory directory, Quarantine quarantine, Consumer<CrashRecord> convicted,
			ErrorResponses errors, Metrics metrics) {
		this.directory = Objects.requireNonNull(directory, "directory is null");
		this.quarantine = Objects.requireNonNull(quarantine, "quarantine is null");
		this.convicted = Objects.requireNonNull(convicted, "convicted is null");
		this.errors = Objects.requireNonNull(errors, "errors is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
		this.accounts = new AccountGates(this.ticker, directory::entries);
	}

	ServicePath service(String name) {
		ServicePath known = this.services.get(name);
		return (known != null) ? known : this.services.computeIfAbsent(name,
				(service) -> ServicePath.of(this.ticker, this.directory.router(service)));
	}

	Optional<Sidecar> sidecar(Upstream upstream) {
		return this.directory.sidecar(upstream);
	}

	AccountGate account(Account account) {
		return this.accounts.of(account);
	}

	/**
	 * Returns a service that another one cannot answer without and that has no upstream.
	 * @param service the service that depends on others
	 * @return the name of the first that is down
	 */
	Optional<String> downDependency(Service service) {
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

	void crashed(String fingerprint, int inFlight) {
		this.quarantine.recordCrash(fingerprint, inFlight).ifPresent(this.convicted);
	}

	void sweep() {
		this.services.values().forEach((service) -> service.queue().sweep());
	}

	// -- stopping

	void begun() {
		this.inProgress.incrementAndGet();
	}

	void ended() {
		CompletableFuture<Void> waiting = this.drained;
		if (this.inProgress.decrementAndGet() == 0 && waiting != null) {
			waiting.complete(null);
		}
	}

	/**
	 * Waits for the requests in progress.
	 * @return completes when none is left
	 */
	CompletableFuture<Void> drain() {
		CompletableFuture<Void> waiting = new CompletableFuture<>();
		this.drained = waiting;
		if (this.inProgress.get() == 0) {
			waiting.complete(null);
		}
		return waiting;
	}

	int inProgress() {
		return this.inProgress.get();
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
