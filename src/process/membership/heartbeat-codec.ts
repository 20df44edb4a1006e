import {create} from '@bufbuild/protobuf';
import {
	HeartbeatRequestSchema, HeartbeatResponseSchema, type HeartbeatRequest, type HeartbeatResponse,
} from '../../generated/peer_pb.js';
import type {Heartbeat} from './member.ts';

const maxNewsPerMessage = 256;
const maxDigestEntries = 1024;

/** Encodes a heartbeat. */
export function encodeRequest(heartbeat: Heartbeat): HeartbeatRequest {
	return create(HeartbeatRequestSchema, encodeFields(heartbeat));
}

/** Encodes the answer to a heartbeat. */
export function encodeResponse(heartbeat: Heartbeat): HeartbeatResponse {
	return create(HeartbeatResponseSchema, {
		...encodeFields(heartbeat), knownIncarnation: BigInt(heartbeat.knownIncarnation ?? 0),
	});
}

/** Decodes a heartbeat or an answer of a peer; entries beyond the limits are dropped. */
export function decodeHeartbeat(message: HeartbeatRequest | HeartbeatResponse): Heartbeat {
	return {
		daemonId: message.daemonId,
		incarnation: Number(message.incarnation),
		availabilityZone: message.availabilityZone,
		sequence: message.sequence,
		configurationVersion: Number(message.configurationVersion),
		phase: message.phase,
		peerUrl: message.peerUrl,
		digest: {
			members: message.digest?.members.slice(0, maxDigestEntries) ?? [],
			sequences: message.digest?.lags.slice(0, maxDigestEntries).map(lag => message.sequence - lag) ?? [],
		},
		news: message.news.slice(0, maxNewsPerMessage),
		...('knownIncarnation' in message ? {knownIncarnation: Number(message.knownIncarnation)} : {}),
	};
}

function encodeFields(heartbeat: Heartbeat) {
	return {
		daemonId: heartbeat.daemonId,
		incarnation: BigInt(heartbeat.incarnation),
		availabilityZone: heartbeat.availabilityZone,
		sequence: heartbeat.sequence,
		configurationVersion: BigInt(heartbeat.configurationVersion),
		phase: heartbeat.phase,
		peerUrl: heartbeat.peerUrl,
		digest: {
			members: [...heartbeat.digest.members],
			lags: heartbeat.digest.sequences.map(sequence => heartbeat.sequence - sequence),
		},
		news: [...heartbeat.news],
	};
}
