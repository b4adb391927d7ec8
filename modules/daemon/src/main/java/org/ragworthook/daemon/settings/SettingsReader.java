package org.ragworthook.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.daemon.settings.DaemonSettings.HttpTlsSettings;
import org.ragworthook.daemon.settings.DaemonSettings.LimitSettings;
import org.ragworthook.daemon.settings.DaemonSettings.PlatformSettings;
import org.ragworthook.daemon.settings.DaemonSettings.Policy;
import org.ragworthook.daemon.settings.DaemonSettings.TlsSettings;
import org.ragworthook.daemon.settings.DaemonSettings.UpstreamSettings;

/**
 * Reads and checks a settings file.
 */
public final class SettingsReader {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(JsonParser.Feature.ALLOW_COMMENTS)
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.build();

	private static final String NAMESPACE = "ragworthook";

	private static final int INITIAL_LIMIT = 8;

	private static final int MAX_LIMIT = 256;

	private static final int REQUEST_BYTES = 4 << 20;

	private static final long FILE_BYTES = 2L << 30;

	private static final int CONNECTIONS = 10_000;

	private static final int SHARDS = 16;

	private static final int LEASE_MILLIS = 6_000;

	private static final int DRAIN_MILLIS = 30_000;

	private SettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param file the file, JSON with comments
	 * @return the settings
	 * @throws ConfigException if the file cannot be read or a setting is wrong; the
	 * message names the file, the place and the remedy
	 */
	public static DaemonSettings read(Path file) {
		String text;
		try {
			text = Files.readString(file);
		}
		catch (IOException ex) {
			throw new ConfigException(ErrorCode.SETTINGS_UNREADABLE, "cannot read settings file " + file, ex);
		}
		return parse(file.toString(), text);
	}

	/**
	 * Reads settings from text.
	 * @param source the name of the text in messages
	 * @param text the settings, JSON with comments
	 * @return the settings
	 * @throws ConfigException if a setting is wrong
	 */
	public static DaemonSettings parse(String source, String text) {
		Objects.requireNonNull(source, "source is null");
		Objects.requireNonNull(text, "text is null");
		try {
			return new Checker(source).settings(MAPPER.readValue(text, SettingsFile.class));
		}
		catch (UnrecognizedPropertyException ex) {
			throw error(ErrorCode.SETTINGS_UNKNOWN_KEY, source, KeyPlaces.of(text).find(path(ex)), ex,
					"unknown key '" + path(ex) + "'");
		}
		catch (MismatchedInputException ex) {
			boolean missing = ex.getMessage().startsWith("Missing required creator property");
			throw missing
					? error(ErrorCode.SETTINGS_MISSING_KEY, source, Optional.empty(), ex,
							"missing key '" + path(ex) + "'")
					: error(ErrorCode.SETTINGS_BAD_VALUE, source, KeyPlaces.of(text).find(path(ex)), ex,
							"wrong type of value for '" + path(ex) + "'");
		}
		catch (JsonProcessingException ex) {
			throw error(ErrorCode.SETTINGS_MALFORMED, source, Optional.ofNullable(ex.getLocation()), ex,
					ex.getOriginalMessage());
		}
	}

	private static ConfigException error(ErrorCode code, String source, Optional<JsonLocation> place,
			JsonProcessingException ex, String detail) {
		String at = place.map((location) -> ":" + location.getLineNr() + ":" + location.getColumnNr()).orElse("");
		return new ConfigException(code, source + at + ": " + detail, ex);
	}

	private static String path(JsonMappingException ex) {
		return String.join(".",
				ex.getPath()
					.stream()
					.map((reference) -> (reference.getFieldName() != null) ? reference.getFieldName()
							: String.valueOf(reference.getIndex()))
					.toList());
	}

	/**
	 * Checks what types alone do not tell.
	 */
	private record Checker(String source) {

		DaemonSettings settings(SettingsFile file) {
			Role role = choice("role", file.role(), Role.class);
			Optional<UpstreamSettings> upstream = Optional.ofNullable(file.upstream()).map(this::upstream);
			if (role == Role.SIDECAR && upstream.isEmpty()) {
				throw new ConfigException(ErrorCode.SETTINGS_MISSING_KEY,
						this.source + ": missing key 'upstream' of a sidecar");
			}
			Map<String, String> keys = Optional.ofNullable(file.operatorKeys()).orElse(Map.of());
			keys.values().forEach(this::keyHash);
			return new DaemonSettings(role, text("instance", file.instance()),
					FailureDomain.of(text("region", file.region()), text("failureDomain", file.failureDomain())),
					address("http", file.http()), address("link", file.link()), platform(file.platform()), upstream,
					keys, Optional.ofNullable(file.dataFolder()).map(Path::of), limits(file.limits()),
					Optional.ofNullable(file.tls()).map(this::tls),
					Optional.ofNullable(file.httpTls()).map(this::httpTls));
		}

		private PlatformSettings platform(SettingsFile.Platform platform) {
			return new PlatformSettings(address("platform.objects", platform.objects()),
					address("platform.instances", platform.instances()),
					Optional.ofNullable(platform.namespace()).orElse(NAMESPACE));
		}

		private UpstreamSettings upstream(SettingsFile.Upstream upstream) {
			Policy policy = (upstream.policy() != null) ? choice("upstream.policy", upstream.policy(), Policy.class)
					: Policy.PRIORITY;
			int max = range("upstream.maxLimit", upstream.maxLimit(), MAX_LIMIT, 1, 100_000);
			int initial = range("upstream.initialLimit", upstream.initialLimit(), Math.min(INITIAL_LIMIT, max), 1, max);
			return new UpstreamSettings(url("upstream.url", upstream.url()),
					text("upstream.service", upstream.service()), policy, initial, max);
		}

		private LimitSettings limits(SettingsFile.Limits given) {
			SettingsFile.Limits limits = (given != null) ? given
					: new SettingsFile.Limits(null, null, null, null, null, null);
			long fileBytes = (limits.fileBytes() != null) ? limits.fileBytes() : FILE_BYTES;
			if (fileBytes < 1) {
				throw bad("limits.fileBytes", String.valueOf(fileBytes), "at least 1");
			}
			return new LimitSettings(
					range("limits.requestBytes", limits.requestBytes(), REQUEST_BYTES, 1, Integer.MAX_VALUE), fileBytes,
					range("limits.connections", limits.connections(), CONNECTIONS, 1, 1_000_000),
					range("limits.shards", limits.shards(), SHARDS, 1, 4_096),
					range("limits.leaseMillis", limits.leaseMillis(), LEASE_MILLIS, 100, 600_000),
					range("limits.drainMillis", limits.drainMillis(), DRAIN_MILLIS, 0, 3_600_000));
		}

		private TlsSettings tls(SettingsFile.Tls tls) {
			return new TlsSettings(file("tls.certificate", tls.certificate()), file("tls.key", tls.key()),
					file("tls.authority", tls.authority()));
		}

		private HttpTlsSettings httpTls(SettingsFile.HttpTls tls) {
			return new HttpTlsSettings(file("httpTls.certificate", tls.certificate()), file("httpTls.key", tls.key()));
		}

		private Path file(String key, String value) {
			Path path = Path.of(text(key, value));
			if (!Files.isReadable(path)) {
				throw new ConfigException(ErrorCode.SETTINGS_UNREADABLE,
						this.source + ": file '" + path + "' of '" + key + "' cannot be read");
			}
			return path;
		}

		private void keyHash(String hash) {
			if (!hash.matches("sha256:[0-9a-f]{64}")) {
				throw bad("operatorKeys", hash, "sha256: and 64 hex digits");
			}
		}

		private Address address(String key, String value) {
			try {
				return Address.parse(text(key, value));
			}
			catch (IllegalArgumentException ex) {
				throw bad(key, value, "an IP number and a port, such as 127.0.0.1:8080");
			}
		}

		private String url(String key, String value) {
			if (!text(key, value).matches("https?://[^/ ]+(/.*)?")) {
				throw bad(key, value, "a URL, such as http://127.0.0.1:9000");
			}
			return value.endsWith("/") ? value.substring(0, value.length() - 1) : value;
		}

		private String text(String key, String value) {
			if (value == null || value.isBlank()) {
				throw bad(key, String.valueOf(value), "a text that is not empty");
			}
			return value;
		}

		private int range(String key, Integer value, int otherwise, int min, int max) {
			int present = (value != null) ? value : otherwise;
			if (present < min || present > max) {
				throw bad(key, String.valueOf(present), "from " + min + " to " + max);
			}
			return present;
		}

		private <E extends Enum<E>> E choice(String key, String value, Class<E> type) {
			for (E constant : type.getEnumConstants()) {
				if (constant.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(value)) {
					return constant;
				}
			}
			throw bad(key, value,
					"one of " + List.of(type.getEnumConstants())
						.stream()
						.map((constant) -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
						.toList());
		}

		private ConfigException bad(String key, String value, String wanted) {
			return new ConfigException(ErrorCode.SETTINGS_BAD_VALUE,
					this.source + ": '" + key + "' is '" + value + "', but must be " + wanted);
		}

	}

}
