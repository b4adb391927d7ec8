package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.ragworthook.core.log.EventLog;

/**
 * The known upstreams. Updates are rare and made by one thread; requests read an
 * immutable snapshot.
 */
public final class UpstreamRegistry {

	private static final EventLog LOG = EventLog.of(UpstreamRegistry.class);

	/** Removed upstreams that are remembered, several times those of a release. */
	private static final int MAX_REMOVED = 1_000;

	private final Map<String, TrackedUpstream> byId = new HashMap<>();

	/**
	 * The upstreams that state their start and were removed, oldest first. Their entries
	 * may expire between two starts, or be listed again with the same one.
	 */
	private final Map<String, TrackedUpstream> removed = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, TrackedUpstream> eldest) {
			return size() > MAX_REMOVED;
		}

	};

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<UpstreamDescriptor>> restartListeners = new CopyOnWriteArrayList<>();

	private volatile Map<String, List<TrackedUpstream>> byService = Map.of();

	private volatile Map<Integer, TrackedUpstream> byKey = Map.of();

	private UpstreamRegistry() {
	}

	/**
	 * Returns a registry without upstreams.
	 * @return a new registry
	 */
	public static UpstreamRegistry empty() {
		return new UpstreamRegistry();
	}

	/**
	 * Adds a listener for changes.
	 * @param listener runs after each change
	 */
	public void onChange(Runnable listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Adds a listener for upstreams that have started again under the same id.
	 * @param listener receives the descriptor of the earlier start, before the requests
	 * that it ran are ended
	 */
	public void onRestart(Consumer<UpstreamDescriptor> listener) {
		this.restartListeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Adds or updates an upstream. A draining upstream is no longer listed as serving,
	 * but the requests that it runs continue. An upstream that has started again, or that
	 * states another software version than before, is tracked as a new one: it knows
	 * nothing of earlier requests, and those keep the version that began them. A
	 * descriptor of an earlier start, or of none while one is known, is ignored.
	 * @param descriptor the upstream's latest descriptor
	 */
	public synchronized void put(UpstreamDescriptor descriptor) {
		TrackedUpstream listed = this.byId.get(descriptor.id());
		if (listed != null && listed.descriptor().equals(descriptor)) {
			return;
		}
		TrackedUpstream upstream = (listed != null) ? listed : this.removed.get(descriptor.id());
		if (upstream != null && upstream.descriptor().outdates(descriptor)) {
			LOG.info("upstream_entry_outdated", "upstream", descriptor.id(), "started", started(descriptor),
					"known_start", started(upstream.descriptor()));
			return;
		}
		Optional<TrackedUpstream> replaced = Optional.ofNullable(upstream)
			.filter((known) -> known.descriptor().replacedBy(descriptor));
		if (upstream == null || replaced.isPresent()) {
			this.byId.put(descriptor.id(), new TrackedUpstream(descriptor));
		}
		else {
			upstream.descriptor(descriptor);
			this.byId.put(descriptor.id(), upstream);
		}
		this.removed.remove(descriptor.id());
		LOG.info("upstream_entry", "upstream", descriptor.id(), "service", descriptor.service(), "address",
				descriptor.address(), "domain", descriptor.failureDomain(), "slots", descriptor.slots(), "version",
				descriptor.version(), "draining", descriptor.draining(), "started", started(descriptor));
		publish();
		replaced.filter((known) -> descriptor.startedMillis().isPresent()).ifPresent(this::restarted);
	}

	private static String started(UpstreamDescriptor descriptor) {
		return descriptor.startedMillis().isPresent() ? String.valueOf(descriptor.startedMillis().getAsLong())
				: "unstated";
	}

	private void restarted(TrackedUpstream before) {
		LOG.info("upstream_restarted", "upstream", before, "online", before.ownLoad(WorkClass.ONLINE), "batch",
				before.ownLoad(WorkClass.BATCH));
		this.restartListeners.forEach((listener) -> listener.accept(before.descriptor()));
		before.restarted();
	}

	/**
	 * Removes an upstream.
	 * @param id its id
	 * @param reason the reason, for the log
	 */
	public synchronized void remove(String id, String reason) {
		TrackedUpstream upstream = this.byId.remove(id);
		if (upstream != null) {
			if (upstream.descriptor().startedMillis().isPresent()) {
				this.removed.put(id, upstream);
			}
			LOG.info("upstream_gone", "upstream", id, "reason", reason);
			publish();
		}
	}

	/**
	 * Returns the ids of all known upstreams, including draining ones.
	 * @return a copy of the ids
	 */
	public synchronized List<String> ids() {
		return List.copyOf(this.byId.keySet());
	}

	/**
	 * Returns the upstreams of a service that accept requests.
	 * @param service the service
	 * @return the upstreams
	 */
	public List<TrackedUpstream> serving(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Returns the upstreams of all services, including draining ones.
	 * @return the upstreams
	 */
	public Collection<TrackedUpstream> all() {
		return this.byKey.values();
	}

	/**
	 * Returns the upstream with a key.
	 * @param key the upstream's {@link TrackedUpstream#key() key}
	 * @return the upstream, or empty if it is not known to this process
	 */
	public Optional<TrackedUpstream> byKey(int key) {
		return Optional.ofNullable(this.byKey.get(key));
	}

	/**
	 * Returns whether an upstream has sent anything to this process after a given time.
	 * @param key the upstream's {@link TrackedUpstream#key() key}
	 * @param nanos the given time, as a reading of the ticker in nanoseconds
	 * @return false also if the upstream is not known
	 */
	public boolean activeAfter(int key, long nanos) {
		return byKey(key).filter((upstream) -> !upstream.silentSince(nanos)).isPresent();
	}

	private void publish() {
		Map<String, List<TrackedUpstream>> services = new HashMap<>();
		Map<Integer, TrackedUpstream> keys = new HashMap<>();
		for (TrackedUpstream upstream : this.byId.values()) {
			keys.put(upstream.key(), upstream);
			if (!upstream.descriptor().draining()) {
				services.computeIfAbsent(upstream.descriptor().service(), (name) -> new ArrayList<>()).add(upstream);
			}
		}
		this.byService = services;
		this.byKey = keys;
		this.listeners.forEach(Runnable::run);
	}

}
