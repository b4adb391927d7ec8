package org.ragworthook.wire.link;

import java.util.List;
import java.util.Objects;

import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Load;
import org.ragworthook.wire.message.Welcome;

/**
 * The process at the other end of a link, as described by its handshake.
 *
 * @param instance the process's identifier, unique to this run
 * @param failureDomain the failure domain that the process runs in
 * @param service the service of a sidecar's upstream; empty for other processes
 * @param models the models that a sidecar's upstream has loaded; empty for other
 * processes
 * @param load the load of a sidecar's upstream at the handshake; the default instance for
 * other processes
 * @param leaving whether the process was already shutting down
 * @param contractVersion the contract version that the process was using
 */
public record Remote(String instance, FailureDomain failureDomain, String service, List<String> models, Load load,
		boolean leaving, long contractVersion) {

	/**
	 * Copies the list of models.
	 */
	public Remote {
		Objects.requireNonNull(instance, "instance is null");
		models = List.copyOf(models);
	}

	static Remote of(Hello hello) {
		return new Remote(hello.getInstance(), FailureDomain.of(hello.getRegion(), hello.getFailureDomain()), "",
				List.of(), Load.getDefaultInstance(), false, hello.getContractVersion());
	}

	static Remote of(Welcome welcome) {
		return new Remote(welcome.getInstance(), FailureDomain.of(welcome.getRegion(), welcome.getFailureDomain()),
				welcome.getService(), welcome.getModelsList(), welcome.getLoad(), welcome.getLeaving(),
				welcome.getContractVersion());
	}

}
