import {Agent, buildConnector} from 'undici';
import {guardConnections} from './answer-guard.ts';

/** Creates a dispatcher whose connections are closed at the limits on answers. */
export function createGuardedAgent(): Agent {
	return new Agent({connect: guardConnections(buildConnector({}))});
}

/** Connections to the services of the platform that are called now and then, for as long as the process runs. */
export const platformAgent = createGuardedAgent();
