import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {CommandModule} from 'yargs';
import {PeerService} from '../../generated/peer_pb.js';
import {formatStatus} from './status-text.ts';

type Options = {readonly peer: string; readonly json: boolean};

const statusTimeoutMs = 5000;

/** `wagtailtack status --peer IP:PORT`: prints the state of one daemon. */
export const statusCommand: CommandModule<unknown, Options> = {
	command: 'status',
	describe: 'Print hosts, upstreams, leases and refusals as one daemon sees them',
	builder: yargs => yargs
		.option('peer', {type: 'string', demandOption: true, describe: 'Peer address of the daemon (IP:PORT)'})
		.option('json', {type: 'boolean', default: false, describe: 'Print one JSON object'}),
	async handler({peer, json}) {
		const transport = createConnectTransport({baseUrl: `http://${peer}`, httpVersion: '2'});
		const {body} = await createClient(PeerService, transport).status({}, {timeoutMs: statusTimeoutMs});
		console.log(json ? body : formatStatus(JSON.parse(body) as Readonly<Record<string, unknown>>));
	},
};
