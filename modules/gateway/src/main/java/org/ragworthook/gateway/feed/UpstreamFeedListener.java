package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * Keeps the registry at what the platform lists.
 * <p>
 * Entries also lapse because the platform could not be reached by anybody, and come back
 * with their upstreams' next heartbeats. Believed at once, every upstream would be
 * dropped when an outage ends and all requests refused for seconds. So soon after an
 * outage an entry that is missing is kept for the time that heartbeats take to return.
 */
public final class UpstreamFeedListener implements FeedListener<UpstreamDescriptor> {

	private static final EventLog LOG = EventLog.of(UpstreamFeedListener.class);

	/** In how long after an outage living upstreams are listed again, by the platform. */
	private static final Duration RETURN = Duration.ofMillis(2_000);

	private final UpstreamRegistry registry;

	private final StoreHealth health;

	private final Timers timers;

	private final Set<String> missing = new HashSet<>();

	private boolean listed;

	private UpstreamFeedListener(UpstreamRegistry registry, StoreHealth health, Timers timers) {
		this.registry = Objects.requireNonNull(registry, "registry is null");
		this.health = Objects.requireNonNull(health, "health is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
	}

	/**
	 * Returns a listener.
	 * @param registry the upstreams
	 * @param health whether the platform answers
	 * @param timers runs tasks later, on the event loop
	 * @return the listener
	 */
	public static UpstreamFeedListener of(UpstreamRegistry registry, StoreHealth health, Timers timers) {
		return new UpstreamFeedListener(registry, health, timers);
	}

	/**
	 * Tells whether the platform has listed the upstreams at least once.
	 * @return whether it has
	 */
	public boolean hasListed() {
		return this.listed;
	}

	@Override
	public void listed(List<Change<UpstreamDescriptor>> all) {
		this.listed = true;
		Set<String> present = new HashSet<>();
		for (Change<UpstreamDescriptor> change : all) {
			if (change.value().isPresent()) {
				present.add(change.name());
				put(change.value().get());
			}
		}
		for (String id : this.registry.ids()) {
			if (!present.contains(id)) {
				gone(id);
			}
		}
	}

	@Override
	public void changed(Change<UpstreamDescriptor> change) {
		if (change.value().isPresent()) {
			put(change.value().get());
		}
		else {
			gone(change.name());
		}
	}

	private void put(UpstreamDescriptor entry) {
		this.missing.remove(entry.id());
		this.registry.put(entry);
	}

	private void gone(String id) {
		Duration steady = this.health.steady();
		if (steady.compareTo(RETURN) >= 0) {
			this.registry.remove(id, "not_listed");
			return;
		}
		if (this.missing.add(id)) {
			Duration wait = RETURN.minus(steady);
			LOG.info("upstream_missing", "upstream", id, "store_steady_ms", steady.toMillis(), "kept_ms",
					wait.toMillis());
			this.timers.schedule(wait, () -> recheck(id));
		}
	}

	private void recheck(String id) {
		if (!this.missing.remove(id)) {
			return;
		}
		if (this.health.up() && this.health.steady().compareTo(RETURN) >= 0) {
			this.registry.remove(id, "not_listed_after_outage");
		}
		else {
			gone(id);
		}
	}

}
