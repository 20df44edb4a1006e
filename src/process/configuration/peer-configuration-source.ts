import type {Either} from 'purify-ts';
import type {ConfigurationDifference} from '../../version/configuration.ts';

/** A peer and the configuration version that it has reported. */
export type PeerConfigurationVersion = {
	readonly peer: string;
	readonly version: number;
};

/** Source of the configuration: the peers of this daemon. */
export abstract class PeerConfigurationSource {
	/** Lists the peers that seem alive. */
	abstract peers(): readonly PeerConfigurationVersion[];

	/** Pulls the changes that a peer has above a version, within a time limit of the source; a failure is a short message. */
	abstract pull(peer: string, since: number): Promise<Either<string, ConfigurationDifference>>;
}
