package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;

import org.mangorack.call.Compression;
import org.mangorack.call.Jsons;
import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.relay.FleetConfiguration.CallerLimits;

/**
 * Creates configuration documents that contain only a version.
 */
final class VersionedDocuments {

	private VersionedDocuments() {
	}

	static JsonNode document(long version) {
		return Jsons.object().put("version", version);
	}

	static ConfigurationDocument compressed(long version) {
		return ConfigurationDocument.newBuilder()
			.setVersion(version)
			.setContent(ByteString.copyFrom(Compression.compress(Jsons.bytes(document(version)))))
			.build();
	}

	static ConfigurationDocument truncated(long version) {
		ByteString whole = compressed(version).getContent();
		return compressed(version).toBuilder().setContent(whole.substring(0, whole.size() / 2)).build();
	}

	static FleetProtocol protocol() {
		return (FleetProtocol) Proxy.newProxyInstance(FleetProtocol.class.getClassLoader(),
				new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> {
					long version = ((JsonNode) arguments[0]).path("version").asLong();
					return method.getName().equals("configurationVersion") ? (Object) version
							: new FleetConfiguration(version, List.of(), List.of(), null, CallerLimits.DEFAULT);
				});
	}

}
