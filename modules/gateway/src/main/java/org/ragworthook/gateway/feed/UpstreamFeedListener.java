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
 * Keeps the registry of upstreams in line with the platform's collection.
 * <p>
 * Entries expire also because nobody could reach the platform, and come back with the
 * next heartbeats of their upstreams. If their absence were trusted at once, all
 * upstreams would be dropped at the end of an outage, and every request refused for
 * seconds. So for some time after an outage a missing entry is kept, until heartbeats
 * should have restored it.
 */
public final class UpstreamFeedListener implements FeedListener<UpstreamDescriptor> {

	private static final EventLog LOG = EventLog.of(UpstreamFeedListener.class);

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
	 * Returns whether the platform has listed the upstreams at least once.
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
				onMissing(id);
			}
		}
	}

	@Override
	public void changed(Change<UpstreamDescriptor> change) {
		if (change.value().isPresent()) {
			put(change.value().get());
		}
		else {
			onMissing(change.name());
		}
	}

	private void put(UpstreamDescriptor entry) {
		this.missing.remove(entry.id());
		this.registry.put(entry);
	}

	private void onMissing(String id) {
		Duration wait = this.health.untilSettled();
		if (wait.isZero()) {
			this.registry.remove(id, "not_listed");
			return;
		}
		if (this.missing.add(id)) {
			LOG.info("upstream_missing", "upstream", id, "store_up_ms", this.health.upFor().toMillis(), "kept_ms",
					wait.toMillis());
			this.timers.schedule(wait, () -> recheck(id));
		}
	}

	private void recheck(String id) {
		if (!this.missing.remove(id)) {
			return;
		}
		if (this.health.untilSettled().isZero()) {
			this.registry.remove(id, "not_listed_after_outage");
		}
		else {
			onMissing(id);
		}
	}

}
