package org.ragworthook.standin.keys;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.Objects;

import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.ContentSigner;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * An authority that signs certificates for processes, as files in PEM.
 */
public final class TestAuthority {

	private static final String SIGNATURE = "SHA256withECDSA";

	private static final String CURVE = "secp256r1";

	private static final Duration CLOCK_SKEW = Duration.ofHours(1);

	private static final Duration AUTHORITY_LIFE = Duration.ofDays(30);

	private static final int SERIAL_BITS = 120;

	private final KeyPair keys;

	private final X500Name name;

	private final X509CertificateHolder certificate;

	private TestAuthority(KeyPair keys, X500Name name, X509CertificateHolder certificate) {
		this.keys = keys;
		this.name = name;
		this.certificate = certificate;
	}

	/**
	 * Makes an authority with a new key.
	 * @param commonName its name
	 * @return the authority
	 */
	public static TestAuthority of(String commonName) {
		Objects.requireNonNull(commonName, "commonName is null");
		KeyPair keys = keys();
		X500Name name = new X500Name("CN=" + commonName);
		Instant now = Instant.now();
		X509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(name, serial(),
				Date.from(now.minus(CLOCK_SKEW)), Date.from(now.plus(AUTHORITY_LIFE)), name, keys.getPublic());
		try {
			builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(0));
			return new TestAuthority(keys, name, builder.build(signer(keys)));
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot make a certificate", ex);
		}
	}

	/**
	 * Writes the authority's certificate.
	 * @param file where to write it, PEM
	 */
	public void write(Path file) {
		pem(file, this.certificate);
	}

	/**
	 * Makes a key and a certificate for a process and writes both.
	 * @param commonName the process's name
	 * @param address the IP number that the process is reached at
	 * @param from when the certificate begins to be valid
	 * @param life how long it is valid
	 * @param certificateFile where to write the certificate, PEM
	 * @param keyFile where to write the key, PEM in PKCS#8
	 */
	public void issue(String commonName, String address, Instant from, Duration life, Path certificateFile,
			Path keyFile) {
		KeyPair own = keys();
		X509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(this.name, serial(), Date.from(from),
				Date.from(from.plus(life)), new X500Name("CN=" + commonName), own.getPublic());
		try {
			builder.addExtension(Extension.subjectAlternativeName, false,
					new GeneralNames(new GeneralName(GeneralName.iPAddress, address)));
			pem(certificateFile, builder.build(signer(this.keys)));
			pem(keyFile, new JcaPKCS8Generator(own.getPrivate(), null));
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot make a certificate for " + commonName, ex);
		}
	}

	private static KeyPair keys() {
		try {
			KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
			generator.initialize(new ECGenParameterSpec(CURVE));
			return generator.generateKeyPair();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("this Java runtime has no elliptic curves", ex);
		}
	}

	private static BigInteger serial() {
		return new BigInteger(SERIAL_BITS, new SecureRandom());
	}

	private static ContentSigner signer(KeyPair keys) {
		try {
			return new JcaContentSignerBuilder(SIGNATURE).build(keys.getPrivate());
		}
		catch (OperatorCreationException ex) {
			throw new IllegalStateException("cannot sign", ex);
		}
	}

	private static void pem(Path file, Object content) {
		StringWriter text = new StringWriter();
		try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
			writer.writeObject(content);
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot write PEM", ex);
		}
		try {
			Files.writeString(file, text.toString());
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot write " + file, ex);
		}
	}

}
