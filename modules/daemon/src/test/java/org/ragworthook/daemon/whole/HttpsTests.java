package org.ragworthook.daemon.whole;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.time.Instant;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLHandshakeException;
import javax.net.ssl.TrustManagerFactory;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.standin.keys.TestAuthority;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for callers who reach an entry over HTTPS.
 */
class HttpsTests {

	private static final String TEXT = """
			{
				"name": "test",
				"regions": [{"name": "region", "failureDomains": ["domain"]}],
				"services": [{"name": "desk", "failureDomains": ["domain"], "upstreams": 1,
					"models": [{"name": "test-model", "version": "1",
						"replicas": {"min": 1, "max": 1, "failureDomains": 1}}]}],
				"accounts": [{"name": "tester", "keys": ["%s"]}]
			}
			""".formatted(KeyHash.of(WholeFleet.KEY).text());

	private final WholeFleet fleet = new WholeFleet(TEXT);

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	/**
	 * A caller who does not know the authority must not send his key: whoever took the
	 * entry's address could read it.
	 */
	@Test
	void shouldServeOnlyThoseWhoTrustItsCertificate() throws Exception {
		TestAuthority authority = TestAuthority.of("callers");
		authority.write(this.folder.resolve("authority.pem"));
		authority.issue("entry", "127.0.0.1", Instant.now().minus(Duration.ofHours(1)), Duration.ofHours(2),
				this.folder.resolve("entry.pem"), this.folder.resolve("entry.key"));
		URI entry = this.fleet.entry("https", ", \"httpTls\": {\"certificate\": \"%s\", \"key\": \"%s\"}"
			.formatted(this.folder.resolve("entry.pem"), this.folder.resolve("entry.key")));
		HttpClient trusting = HttpClient.newBuilder().sslContext(trust(this.folder.resolve("authority.pem"))).build();
		assertThat(status(trusting, entry.resolve("/healthz"))).isEqualTo(200);
		try {
			status(HttpClient.newHttpClient(), entry.resolve("/healthz"));
			throw new AssertionError("a strange certificate was trusted");
		}
		catch (SSLHandshakeException ex) {
			assertThat(ex).hasMessageThat().contains("certification path");
		}
	}

	private static int status(HttpClient client, URI url) throws IOException, InterruptedException {
		return client.send(HttpRequest.newBuilder(url).build(), HttpResponse.BodyHandlers.ofString()).statusCode();
	}

	private static SSLContext trust(Path authority) throws GeneralSecurityException, IOException {
		KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
		store.load(null, null);
		try (InputStream pem = Files.newInputStream(authority)) {
			store.setCertificateEntry("authority", CertificateFactory.getInstance("X.509").generateCertificate(pem));
		}
		TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
		factory.init(store);
		SSLContext context = SSLContext.getInstance("TLS");
		context.init(null, factory.getTrustManagers(), null);
		return context;
	}

}
