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
 * The certificates of one process. Both sides of a link show theirs; each must be signed
 * by the common authority, and that of the accepting side must bear its address.
 * <p>
 * Certificates expire. A process that read them only at its start would refuse links on
 * the day of the expiry, everywhere at once. So the files are read again when asked;
 * links that are open go on, new links use the new certificates. Files that do not fit
 * together, as between the replacement of one and the other, leave the former
 * certificates in use.
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
	 * Reads the certificates of a process.
	 * @param certificate file of the process's own chain, PEM
	 * @param key file of its private key, PEM in PKCS#8
	 * @param authority file of the authority's certificate, PEM
	 * @return the identity
	 * @throws ConfigException if a file cannot be read or is no certificate or key
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
	 * Reads the files again.
	 * @return whether new certificates are in use now
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
	 * Returns the context for the side that accepts links.
	 * @return a context that demands a certificate of the other side
	 */
	public SslContext server() {
		return this.contexts.server();
	}

	/**
	 * Returns the context for the side that connects.
	 * @return a context that shows this process's certificate
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
