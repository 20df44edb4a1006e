import type {AccountWork} from '../accounts/account-usage.ts';
import {UsageSums} from '../accounts/usage-sums.ts';
import type {PeerMessage} from './peer-message.ts';

/** Least time between two reports of a relay, in milliseconds; as long as that between two of a daemon, so that each report covers all daemons. */
const relayUsageIntervalMs = 500;
/** Accounts in one report, at most. */
export const maxReportedAccounts = 256;

/** Sums the work of client accounts that a relay passes on; the sums travel with a message of the relay, and belong to no daemon. */
export class UsageRelay {
	readonly #relay: string;
	readonly #ownZone = new UsageSums(relayUsageIntervalMs, maxReportedAccounts);
	readonly #otherZones = new UsageSums(relayUsageIntervalMs, maxReportedAccounts);

	/** `relay`: name of this daemon. */
	constructor(relay: string) {
		this.#relay = relay;
	}

	/** Adds work for the daemons of the own availability zone, and for the other zones if it has not come from them. */
	add(works: readonly AccountWork[], forwardsToOtherZones: boolean): void {
		this.#ownZone.add(works);
		if (forwardsToOtherZones) {
			this.#otherZones.add(works);
		}
	}

	/** Returns messages to the own zone with the work that is due. */
	attachToOwnZone(messages: readonly PeerMessage[], now: number): readonly PeerMessage[] {
		return attach(messages, this.#relay, this.#ownZone, now);
	}

	/** Returns messages to the relays of the other zones with the work that is due. */
	attachToOtherZones(messages: readonly PeerMessage[], now: number): readonly PeerMessage[] {
		return attach(messages, this.#relay, this.#otherZones, now);
	}
}

/** Returns a message without the work that it reports. */
export function withoutUsage(message: PeerMessage): PeerMessage {
	return message.usage.length === 0 ? message : {...message, usage: []};
}

/** Attaches work to the relay's own message, because a daemon ignores the messages that name it as their origin. */
function attach(messages: readonly PeerMessage[], relay: string, sums: UsageSums, now: number): readonly PeerMessage[] {
	return messages.map(message => message.daemon === relay ? {...message, usage: sums.take(now)} : message);
}
