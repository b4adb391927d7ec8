package org.ragworthook.wire.tls;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Objects;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.log.EventLog;

/**
 * The certificate, private key and trusted authority of one process, for mutual TLS on
 * its links. The certificates of both sides must be signed by the common authority, and
 * that of the accepting side must contain its address.
 * <p>
 * If certificates were read only at start, all processes would refuse links at once when
 * they expire. So {@link #refresh} reads the files again: new links use the new
 * certificates, and open links continue. If the files do not match, for example because
 * only one of them has been replaced yet, the previous certificates stay in use.
 */
public final class TlsIdentity {

	private static final EventLog LOG = EventLog.of(TlsIdentity.class);

	private final Path certificate;

	private final Path key;

	private final Path authority;

	private volatile Contexts contexts;

	private TlsIdentity(Path certificate, Path key, Path authority) {
		this.certificate = Objects.requireNonNull(certificate, "certificate is null");
		this.key = Objects.requireNonNull(key, "key is null");
		this.authority = Objects.requireNonNull(authority, "authority is null");
	}

	/**
	 * Loads the certificates of a process.
	 * @param certificate the PEM file of the process's certificate chain
	 * @param key the PEM file of the process's private key in PKCS#8 format
	 * @param authority the PEM file of the trusted authority's certificate
	 * @return the identity
	 * @throws ConfigException if a file cannot be read or is not a valid certificate or
	 * key
	 */
	public static TlsIdentity load(Path certificate, Path key, Path authority) {
		TlsIdentity identity = new TlsIdentity(certificate, key, authority);
		try {
			identity.contexts = identity.read();
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new ConfigException(ErrorCode.SETTINGS_UNREADABLE,
					"certificate " + certificate + " with key " + key + " cannot be used: " + ex.getMessage(), ex);
		}
		return identity;
	}

	private Contexts read() throws IOException {
		byte[] chainBytes = Files.readAllBytes(this.certificate);
		byte[] keyBytes = Files.readAllBytes(this.key);
		byte[] authorityBytes = Files.readAllBytes(this.authority);
		SslContext server = SslContextBuilder.forServer(stream(chainBytes), stream(keyBytes))
			.sslProvider(SslProvider.JDK)
			.trustManager(stream(authorityBytes))
			.clientAuth(ClientAuth.REQUIRE)
			.build();
		return new Contexts(server, client(chainBytes, keyBytes, authorityBytes), Arrays.hashCode(
				new int[] { Arrays.hashCode(chainBytes), Arrays.hashCode(keyBytes), Arrays.hashCode(authorityBytes) }));
	}

	private static SslContext client(byte[] chain, byte[] key, byte[] authority) throws SSLException {
		return SslContextBuilder.forClient()
			.sslProvider(SslProvider.JDK)
			.keyManager(stream(chain), stream(key))
			.trustManager(stream(authority))
			.build();
	}

	private static ByteArrayInputStream stream(byte[] bytes) {
		return new ByteArrayInputStream(bytes);
	}

	/**
	 * Reloads the files. If they cannot be used, the failure is logged and the previous
	 * certificates stay in use.
	 * @return whether the files have changed and the new certificates are in use
	 */
	public boolean refresh() {
		try {
			Contexts read = read();
			if (read.digest() == this.contexts.digest()) {
				return false;
			}
			this.contexts = read;
			LOG.info("certificates_replaced", "certificate", this.certificate);
			return true;
		}
		catch (IOException | IllegalArgumentException ex) {
			LOG.warning("certificates_unusable", "certificate", this.certificate, "error", ex.getMessage());
			return false;
		}
	}

	/**
	 * Returns the context for the accepting side of new links.
	 * @return a TLS context that requires a client certificate
	 */
	public SslContext server() {
		return this.contexts.server();
	}

	/**
	 * Returns the context for the connecting side of new links.
	 * @return a TLS context that presents this process's certificate
	 */
	public SslContext client() {
		return this.contexts.client();
	}

	@Override
	public String toString() {
		return this.certificate.getFileName().toString().replace(".pem", "");
	}

	private record Contexts(SslContext server, SslContext client, int digest) {
	}

}
