package org.mangorack.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.mangorack.call.Identifiers;
import org.mangorack.call.Jsons;
import org.mangorack.http.HttpAddress;

/**
 * The settings of an instance, read once at startup.
 *
 * @param instance the name of the instance, unique in the fleet
 * @param dataCentre the data centre that the instance runs in
 * @param listen the addresses to listen on
 * @param advertise the addresses advertised to others
 * @param platform the access to the object API
 * @param lease the durations of the lease
 * @param limits the resource and shutdown limits
 * @param operatorKey the key that operators present
 * @param peerSecret the shared secret that instances present to each other
 * @param peerTls the certificates of links, or {@code null} to disable TLS
 * @param dataFolder the folder for bulk data, or {@code null}
 */
public record Settings(String instance, String dataCentre, Addresses listen, Addresses advertise, Platform platform,
		Lease lease, Limits limits, String operatorKey, String peerSecret, PeerTls peerTls, Path dataFolder) {

	private static final int MIN_SECRET_LENGTH = 16;

	// ---- Public API

	/**
	 * Parses and validates a settings file.
	 * @param file the file
	 * @return the settings, or all problems of the file
	 */
	public static Either<List<Problem>, Settings> read(Path file) {
		Problems problems = new Problems(file.toString(), Map.of());
		JsonNode json;
		try {
			json = Jsons.parse(Files.readAllBytes(file));
		}
		catch (JsonProcessingException ex) {
			problems.addMalformed(file.toString(), ex);
			return Either.left(problems.sorted());
		}
		catch (IOException ex) {
			problems.add("$", null, "cannot be read: " + ex.getMessage());
			return Either.left(problems.sorted());
		}
		ObjectReader reader = new ObjectReader(problems, "$", json);
		Settings settings = read(reader, file.toAbsolutePath().getParent());
		reader.reportUnknownFields();
		return problems.isEmpty() ? Either.right(settings) : Either.left(problems.sorted());
	}

	// ---- Helpers

	private static Settings read(ObjectReader reader, Path folder) {
		String instance = reader.parsed("instance", (t) -> Identifiers.require("instance", t), null);
		String dataCentre = reader.parsed("dataCentre", (t) -> Identifiers.require("data centre", t), null);
		Addresses listen = Addresses.read(reader.object("listen"), null);
		Addresses advertise = Addresses.read(reader.object("advertise"), listen);
		Platform platform = Platform.read(reader.object("platform"));
		Lease lease = Lease.read(reader.object("lease"));
		Limits limits = Limits.read(reader.object("limits"));
		String operatorKey = secret(reader, "operatorKeyFile", folder);
		String peerSecret = secret(reader, "peerSecretFile", folder);
		PeerTls peerTls = reader.has("peerTls") ? PeerTls.read(reader.object("peerTls"), folder) : null;
		Path dataFolder = reader.has("dataFolder") ? path(reader, "dataFolder", folder) : null;
		if ((dataFolder != null) && !Files.isDirectory(dataFolder)) {
			reader.reject("dataFolder", "is not a folder");
		}
		return new Settings(instance, dataCentre, listen, advertise, platform, lease, limits, operatorKey, peerSecret,
				peerTls, dataFolder);
	}

	private static Path path(ObjectReader reader, String field, Path folder) {
		return reader.parsed(field, folder::resolve, null);
	}

	private static String secret(ObjectReader reader, String field, Path folder) {
		Path file = path(reader, field, folder);
		if (file == null) {
			return "";
		}
		try {
			String secret = Files.readString(file).strip();
			if (secret.length() < MIN_SECRET_LENGTH) {
				reader.reject(field, "names a file with fewer than " + MIN_SECRET_LENGTH + " characters");
			}
			return secret;
		}
		catch (IOException ex) {
			reader.reject(field, "names a file that cannot be read: " + ex.getMessage());
			return "";
		}
	}

	/**
	 * The addresses of an instance.
	 *
	 * @param callers the address for callers
	 * @param operators the address for operators
	 * @param peers the address for other instances
	 */
	public record Addresses(HttpAddress callers, HttpAddress operators, HttpAddress peers) {

		static Addresses read(ObjectReader reader, Addresses defaults) {
			Addresses addresses = new Addresses(
					reader.parsed("callers", HttpAddress::parse, (defaults != null) ? defaults.callers() : null),
					reader.parsed("operators", HttpAddress::parse, (defaults != null) ? defaults.operators() : null),
					reader.parsed("peers", HttpAddress::parse, (defaults != null) ? defaults.peers() : null));
			reader.reportUnknownFields();
			return addresses;
		}

	}

	/**
	 * The certificates of links between instances, in PEM format.
	 *
	 * @param certificateFile the certificate of this instance; its common name is the
	 * name of the instance
	 * @param keyFile the private key of the certificate, in PKCS 8 format
	 * @param trustFile the trusted certificates that sign the certificates of instances
	 */
	public record PeerTls(Path certificateFile, Path keyFile, Path trustFile) {

		static PeerTls read(ObjectReader reader, Path folder) {
			PeerTls tls = new PeerTls(file(reader, "certificateFile", folder), file(reader, "keyFile", folder),
					file(reader, "trustFile", folder));
			reader.reportUnknownFields();
			return tls;
		}

		private static Path file(ObjectReader reader, String field, Path folder) {
			Path file = path(reader, field, folder);
			if ((file != null) && !Files.isRegularFile(file)) {
				reader.reject(field, "names a file that does not exist");
			}
			return file;
		}

	}

	/**
	 * The access to the object API.
	 *
	 * @param address the address of the object API
	 * @param timeout the maximum time to wait for a response
	 * @param writesPerSecond the rate limit for journal writes of this instance
	 * @param writeBurst the maximum burst of journal writes
	 */
	public record Platform(HttpAddress address, Duration timeout, long writesPerSecond, long writeBurst) {

		static Platform read(ObjectReader reader) {
			Platform platform = new Platform(reader.parsed("address", HttpAddress::parse, null),
					Duration.ofMillis(reader.integer("timeoutMillis", 50, 60_000, 1000)),
					reader.integer("writesPerSecond", 1, 10_000, 50), reader.integer("writeBurst", 1, 1000, 25));
			reader.reportUnknownFields();
			return platform;
		}

	}

	/**
	 * The durations of the lease.
	 *
	 * @param duration how long a lease is valid after a renewal
	 * @param renewal the interval between renewals
	 */
	public record Lease(Duration duration, Duration renewal) {

		static Lease read(ObjectReader reader) {
			long duration = reader.integer("durationMillis", 500, 60_000, 3000);
			long renewal = reader.integer("renewalMillis", 50, 20_000, 1000);
			if (renewal * 3 > duration) {
				reader.reject("renewalMillis", "is more than a third of durationMillis");
			}
			reader.reportUnknownFields();
			return new Lease(Duration.ofMillis(duration), Duration.ofMillis(renewal));
		}

	}

	/**
	 * The resource and shutdown limits.
	 *
	 * @param maxBodyBytes the maximum size of a request body
	 * @param drain how long a planned shutdown waits for calls in progress
	 * @param linger how long a planned shutdown continues to listen after announcing
	 * itself
	 */
	public record Limits(int maxBodyBytes, Duration drain, Duration linger) {

		static Limits read(ObjectReader reader) {
			Limits limits = new Limits((int) reader.integer("maxBodyBytes", 1024, 64 * 1024 * 1024, 8 * 1024 * 1024),
					Duration.ofMillis(reader.integer("drainMillis", 100, 600_000, 60_000)),
					Duration.ofMillis(reader.integer("lingerMillis", 0, 60_000, 2500)));
			reader.reportUnknownFields();
			return limits;
		}

	}

}
