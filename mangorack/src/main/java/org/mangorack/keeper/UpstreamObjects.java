package org.mangorack.keeper;

import com.google.protobuf.ByteString;

import org.mangorack.call.Jsons;
import org.mangorack.keeper.proto.UpstreamObject;
import org.mangorack.platform.StoredObject;

/**
 * Converts upstream objects of the platform to messages.
 */
public final class UpstreamObjects {

	private UpstreamObjects() {
	}

	/**
	 * Creates the message for an upstream object. The object is not validated here: an
	 * invalid one is passed on as well, so that every instance treats it the same way.
	 * @param object the upstream object
	 * @return the message
	 */
	public static UpstreamObject of(StoredObject object) {
		return UpstreamObject.newBuilder()
			.setName(object.name())
			.setDocument(ByteString.copyFrom(Jsons.bytes(object.spec())))
			.build();
	}

}
