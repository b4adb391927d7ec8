package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.ragworthook.core.log.EventLog;

/**
 * The upstreams that may be used. Changes are rare and made by one thread; requests read
 * an immutable snapshot.
 */
public final class UpstreamRegistry {

	private static final EventLog LOG = EventLog.of(UpstreamRegistry.class);

	private final Map<String, TrackedUpstream> byId = new HashMap<>();

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

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
	 * Asks to be told of changes.
	 * @param listener runs after each change
	 */
	public void onChange(Runnable listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Takes what an upstream says of itself. One that drains is no longer listed; what it
	 * runs goes on.
	 * @param entry the entry
	 */
	public synchronized void put(UpstreamDescriptor entry) {
		TrackedUpstream known = this.byId.get(entry.id());
		if (known != null && known.descriptor().equals(entry)) {
			return;
		}
		if (known == null) {
			this.byId.put(entry.id(), new TrackedUpstream(entry));
		}
		else {
			known.descriptor(entry);
		}
		LOG.info("upstream_entry", "upstream", entry.id(), "service", entry.service(), "address", entry.address(),
				"domain", entry.failureDomain(), "slots", entry.slots(), "draining", entry.draining());
		publish();
	}

	/**
	 * Forgets an upstream.
	 * @param id its id
	 * @param reason why, for the log
	 */
	public synchronized void remove(String id, String reason) {
		if (this.byId.remove(id) != null) {
			LOG.info("upstream_gone", "upstream", id, "reason", reason);
			publish();
		}
	}

	/**
	 * Returns the ids that are known, draining ones included.
	 * @return a copy
	 */
	public synchronized List<String> ids() {
		return List.copyOf(this.byId.keySet());
	}

	/**
	 * Returns the upstreams of a service that take requests.
	 * @param service the service
	 * @return the upstreams
	 */
	public List<TrackedUpstream> serving(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Returns the upstreams of all services.
	 * @return the upstreams
	 */
	public Collection<TrackedUpstream> all() {
		return this.byKey.values();
	}

	/**
	 * Returns the upstream that peers name by a key.
	 * @param key the key
	 * @return the upstream, or empty if it is not known here
	 */
	public Optional<TrackedUpstream> byKey(int key) {
		return Optional.ofNullable(this.byKey.get(key));
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
