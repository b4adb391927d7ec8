package org.ragworthook.wire.link;

import java.util.List;
import java.util.Objects;

import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Load;
import org.ragworthook.wire.message.Welcome;

/**
 * The process at the other end of a link, as it greeted.
 *
 * @param instance its identity, unique to this run
 * @param failureDomain where it stands
 * @param service of a sidecar: the service of its upstream; else the empty text
 * @param models of a sidecar: the models that its upstream has loaded
 * @param load of a sidecar: how busy its upstream was
 * @param leaving whether it was leaving already
 * @param contractVersion the contract version that it acted by
 */
public record Remote(String instance, FailureDomain failureDomain, String service, List<String> models, Load load,
		boolean leaving, long contractVersion) {

	/**
	 * Copies the models.
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
