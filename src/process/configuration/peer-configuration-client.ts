import {Left, Right, type Either} from 'purify-ts';
import type {PeerClients} from '../../connection/peer-clients.ts';
import {parseSnapshot, type ConfigurationDifference} from '../../version/configuration.ts';
import type {Member} from '../membership/member.ts';
import {PeerConfigurationSource, type PeerConfigurationVersion} from './peer-configuration-source.ts';

const pullTimeoutMs = 2000;

/** Pulls the configuration from other members of the deployment over the peer protocol. */
export class PeerConfigurationClient extends PeerConfigurationSource {
	readonly #members: () => readonly Member[];
	readonly #clients: PeerClients;

	constructor(members: () => readonly Member[], clients: PeerClients) {
		super();
		this.#members = members;
		this.#clients = clients;
	}

	peers(): readonly PeerConfigurationVersion[] {
		return this.#members()
			.filter(member => member.condition === 'alive')
			.map(member => ({peer: member.id, version: member.configurationVersion}));
	}

	async pull(peer: string, since: number): Promise<Either<string, ConfigurationDifference>> {
		const member = this.#members().find(candidate => candidate.id === peer);
		if (member === undefined) {
			return Left('the peer is not known');
		}

		try {
			const {version, snapshot, entries} = await this.#clients.call(member.peerUrl, pullTimeoutMs, async (client, options) =>
				client.pullChanges({sinceVersion: BigInt(since)}, options));
			const plain = entries.map(entry => ({
				kind: entry.kind, name: entry.name, version: Number(entry.version), body: entry.body,
			}));
			return Right({...parseSnapshot(JSON.stringify({version: Number(version), entries: plain})), snapshot});
		} catch (error) {
			return Left(String(error));
		}
	}
}
