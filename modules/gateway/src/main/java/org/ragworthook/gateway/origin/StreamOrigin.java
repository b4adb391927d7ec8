package org.ragworthook.gateway.origin;

import java.util.Objects;

import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;

/**
 * The software that began a stream.
 *
 * @param service the service of the upstream
 * @param version the version of its software
 */
public record StreamOrigin(String service, SoftwareVersion version) {

	/**
	 * Checks the components.
	 */
	public StreamOrigin {
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(version, "version is null");
	}

	/**
	 * Returns the origin of the streams that an upstream begins.
	 * @param upstream the upstream
	 * @return the origin
	 */
	public static StreamOrigin of(UpstreamDescriptor upstream) {
		return new StreamOrigin(upstream.service(), upstream.version());
	}

	/**
	 * Returns whether an upstream can continue a stream of this origin.
	 * @param upstream the upstream
	 * @return whether its service is the same and its version is known to be the same
	 */
	public boolean continuedBy(UpstreamDescriptor upstream) {
		return this.service.equals(upstream.service()) && this.version.continuedBy(upstream.version());
	}

	@Override
	public String toString() {
		return this.service + "/" + this.version;
	}

}
