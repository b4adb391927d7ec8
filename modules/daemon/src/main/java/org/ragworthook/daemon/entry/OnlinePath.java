package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.wire.message.Lane;

/**
 * What online requests share: the sidecars to choose from, errors and metrics.
 */
final class OnlinePath {

	/** When a refused caller should come back. */
	static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final UpstreamDirectory directory;

	private final ErrorResponses errors;

	private final Metrics metrics;

	OnlinePath(UpstreamDirectory directory, ErrorResponses errors, Metrics metrics) {
		this.directory = Objects.requireNonNull(directory, "directory is null");
		this.errors = Objects.requireNonNull(errors, "errors is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
	}

	Optional<Sidecar> choose(OnlineRequest request, Set<Sidecar> tried) {
		return this.directory.sidecars()
			.stream()
			.filter((sidecar) -> sidecar.service().equals(request.service().name()))
			.filter((sidecar) -> sidecar.takes(Lane.LANE_ONLINE) && !tried.contains(sidecar))
			.min(Comparator.comparingInt(Sidecar::outstanding));
	}

	ErrorResponses errors() {
		return this.errors;
	}

	Metrics metrics() {
		return this.metrics;
	}

}
