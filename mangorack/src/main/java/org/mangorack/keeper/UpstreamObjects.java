package org.mangorack.keeper;

import com.google.protobuf.ByteString;

import org.mangorack.call.Jsons;
import org.mangorack.keeper.proto.UpstreamObject;
import org.mangorack.platform.StoredObject;

/**
 * Passes on the entries of upstreams as the platform holds them.
 */
public final class UpstreamObjects {

	private UpstreamObjects() {
	}

	/**
	 * Makes the message of an entry. The entry is not read: one that is not valid is
	 * passed on as well, so that every instance judges it alike.
	 * @param object the entry
	 * @return its message
	 */
	public static UpstreamObject of(StoredObject object) {
		return UpstreamObject.newBuilder()
			.setName(object.name())
			.setDocument(ByteString.copyFrom(Jsons.bytes(object.spec())))
			.build();
	}

}
