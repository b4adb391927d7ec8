package org.ragworthook.daemon;

import java.util.Optional;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.daemon.settings.DaemonSettings.HttpTlsSettings;
import org.ragworthook.daemon.settings.DaemonSettings.TlsSettings;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.tls.TlsIdentity;

/**
 * The certificates of a daemon, for its links and for its HTTP interface, read again
 * every minute so that they can be replaced without a restart.
 */
public final class Certificates {

	private static final EventLog LOG = EventLog.of(Certificates.class);

	private static final long REFRESH_MILLIS = 60_000;

	private Certificates() {
	}

	/**
	 * Returns how links behave, with TLS if the settings name certificates.
	 * @param vertx carries the timer of the refresh
	 * @param settings the settings of the daemon
	 * @return the options
	 */
	public static LinkOptions links(Vertx vertx, DaemonSettings settings) {
		if (settings.tls().isEmpty()) {
			return LinkOptions.of();
		}
		TlsSettings files = settings.tls().get();
		TlsIdentity identity = TlsIdentity.load(files.certificate(), files.key(), files.authority());
		vertx.setPeriodic(REFRESH_MILLIS, (ignored) -> identity.refresh());
		return LinkOptions.of().tls(identity);
	}

	/**
	 * Returns the options of the HTTP interface, with TLS if the settings name
	 * certificates.
	 * @param settings the settings of the daemon
	 * @return the options
	 */
	public static HttpServerOptions http(DaemonSettings settings) {
		HttpServerOptions options = new HttpServerOptions().setTcpNoDelay(true);
		settings.httpTls().map(Certificates::pem).ifPresent((pem) -> options.setSsl(true).setKeyCertOptions(pem));
		return options;
	}

	/**
	 * Reads the HTTP interface's certificates again from time to time.
	 * @param vertx carries the timer
	 * @param settings the settings of the daemon
	 * @param server the server that shows them
	 */
	public static void refresh(Vertx vertx, DaemonSettings settings, HttpServer server) {
		Optional<HttpTlsSettings> files = settings.httpTls();
		files.ifPresent((present) -> vertx.setPeriodic(REFRESH_MILLIS,
				(ignored) -> server.updateSSLOptions(new ServerSSLOptions().setKeyCertOptions(pem(present)))
					.onFailure((failure) -> LOG.warning("certificates_unusable", "certificate", present.certificate(),
							"error", failure))));
	}

	private static PemKeyCertOptions pem(HttpTlsSettings files) {
		return new PemKeyCertOptions().addCertPath(files.certificate().toString()).addKeyPath(files.key().toString());
	}

}
