package org.ragworthook.gateway.route;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.ragworthook.core.log.EventLog;

/**
 * The configuration that a process goes by.
 * <p>
 * The platform may show an older version after a newer one, for example when a watch
 * starts anew after its history was dropped. Taken as it comes, a request that was
 * allowed a moment ago would be refused; so only a higher version replaces the present
 * one.
 */
public final class ActiveConfiguration {

	private static final EventLog LOG = EventLog.of(ActiveConfiguration.class);

	private final AtomicReference<Configuration> present = new AtomicReference<>();

	private volatile Runnable listener = () -> {
	};

	private ActiveConfiguration() {
	}

	/**
	 * Returns a holder that knows of no version.
	 * @return a new holder
	 */
	public static ActiveConfiguration empty() {
		return new ActiveConfiguration();
	}

	/**
	 * Sets what learns that another version is in force.
	 * @param task runs on the thread that offers the version
	 */
	public void onChange(Runnable task) {
		this.listener = Objects.requireNonNull(task, "task is null");
	}

	/**
	 * Returns what is in force.
	 * @return the newest version seen, or empty if none was
	 */
	public Optional<Configuration> current() {
		return Optional.ofNullable(this.present.get());
	}

	/**
	 * Takes a version that the platform showed.
	 * @param offered the version
	 * @return whether it is in force now
	 */
	public boolean offer(Configuration offered) {
		while (true) {
			Configuration before = this.present.get();
			if (before != null && before.version() >= offered.version()) {
				return false;
			}
			if (this.present.compareAndSet(before, offered)) {
				LOG.info("configuration_in_force", "version", offered.version(), "before",
						(before != null) ? before.version() : 0);
				this.listener.run();
				return true;
			}
		}
	}

}
