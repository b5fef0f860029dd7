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
 * The settings of one instance, read once at its start.
 *
 * @param instance the name of the instance, unique in the fleet
 * @param dataCentre the data centre that the instance runs in
 * @param listen the addresses to listen on
 * @param advertise the addresses told to others
 * @param platform how the object API is met
 * @param lease the times of the lease
 * @param limits bounds on work
 * @param operatorKey the key that operators show
 * @param peerSecret the secret that instances show each other
 * @param peerTls the certificates of links, or {@code null} for links that are not
 * encrypted
 * @param dataFolder the folder for bulk data, or {@code null}
 */
public record Settings(String instance, String dataCentre, Addresses listen, Addresses advertise, Platform platform,
		Lease lease, Limits limits, String operatorKey, String peerSecret, PeerTls peerTls, Path dataFolder) {

	private static final int MIN_SECRET_LENGTH = 16;

	// ---- Public API

	/**
	 * Reads and checks a settings file.
	 * @param file the file
	 * @return the settings, or every problem of the file
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
		reader.finish();
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
			reader.refuse("dataFolder", "is not a folder");
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
				reader.refuse(field, "names a file with fewer than " + MIN_SECRET_LENGTH + " characters");
			}
			return secret;
		}
		catch (IOException ex) {
			reader.refuse(field, "names a file that cannot be read: " + ex.getMessage());
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
			reader.finish();
			return addresses;
		}

	}

	/**
	 * The certificates of links between instances, in PEM format.
	 *
	 * @param certificateFile the certificate of this instance; its common name is the
	 * name of the instance
	 * @param keyFile the private key of the certificate, in PKCS 8 format
	 * @param trustFile the certificates that sign those of instances
	 */
	public record PeerTls(Path certificateFile, Path keyFile, Path trustFile) {

		static PeerTls read(ObjectReader reader, Path folder) {
			PeerTls tls = new PeerTls(file(reader, "certificateFile", folder), file(reader, "keyFile", folder),
					file(reader, "trustFile", folder));
			reader.finish();
			return tls;
		}

		private static Path file(ObjectReader reader, String field, Path folder) {
			Path file = path(reader, field, folder);
			if ((file != null) && !Files.isRegularFile(file)) {
				reader.refuse(field, "names a file that does not exist");
			}
			return file;
		}

	}

	/**
	 * How the object API is met.
	 *
	 * @param address the address of the object API
	 * @param timeout the longest wait for an answer
	 * @param writesPerSecond the journal writes per second of this instance
	 * @param writeBurst the journal writes that may follow each other at once
	 */
	public record Platform(HttpAddress address, Duration timeout, long writesPerSecond, long writeBurst) {

		static Platform read(ObjectReader reader) {
			Platform platform = new Platform(reader.parsed("address", HttpAddress::parse, null),
					Duration.ofMillis(reader.integer("timeoutMillis", 50, 60_000, 1000)),
					reader.integer("writesPerSecond", 1, 10_000, 50), reader.integer("writeBurst", 1, 1000, 25));
			reader.finish();
			return platform;
		}

	}

	/**
	 * The times of the lease.
	 *
	 * @param duration how long a lease is valid after a renewal
	 * @param renewal the time between renewals
	 */
	public record Lease(Duration duration, Duration renewal) {

		static Lease read(ObjectReader reader) {
			long duration = reader.integer("durationMillis", 500, 60_000, 3000);
			long renewal = reader.integer("renewalMillis", 50, 20_000, 1000);
			if (renewal * 3 > duration) {
				reader.refuse("renewalMillis", "is more than a third of durationMillis");
			}
			reader.finish();
			return new Lease(Duration.ofMillis(duration), Duration.ofMillis(renewal));
		}

	}

	/**
	 * Bounds on work.
	 *
	 * @param maxBodyBytes the longest accepted request body
	 * @param drain how long a planned stop waits for calls under way
	 * @param linger how long a planned stop goes on listening after it announced itself
	 */
	public record Limits(int maxBodyBytes, Duration drain, Duration linger) {

		static Limits read(ObjectReader reader) {
			Limits limits = new Limits((int) reader.integer("maxBodyBytes", 1024, 64 * 1024 * 1024, 8 * 1024 * 1024),
					Duration.ofMillis(reader.integer("drainMillis", 100, 600_000, 60_000)),
					Duration.ofMillis(reader.integer("lingerMillis", 0, 60_000, 2500)));
			reader.finish();
			return limits;
		}

	}

}
