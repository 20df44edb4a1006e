import type {Either} from 'purify-ts';
import type {ConfigurationDifference} from '../../version/configuration.ts';

/** A peer and the configuration version that it has reported. */
export type PeerConfigurationVersion = {
	readonly peer: string;
	readonly version: number;
};

/** Peers of the daemon as sources of the configuration. */
export abstract class PeerConfigurationSource {
	/** Lists the peers that seem alive. */
	abstract peers(): readonly PeerConfigurationVersion[];

	/** Pulls what a peer has above a version, within the source's own time limit; a failure is a short message. */
	abstract pull(peer: string, since: number): Promise<Either<string, ConfigurationDifference>>;
}
