/* eslint-disable camelcase -- The fields are those of the platform; steps of a case follow each other. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {findPorts, until} from './net.mjs';

/** Processes that have been started and not exited. */
const running = new Set();
process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

const root = path.join(import.meta.dirname, '../..');
/** Bounds of the site tuul-carton. */
const defaultBounds = {
	retry_budget_ratio: 0.2, budget_slack: 56, retry_window_s: 10, grace_s: 8, contact_ms: 3000, drain_ms: 2000, config_apply_ms: 2000, lease_ms: 3000,
};

/** Fills in the template of the settings as the platform does. */
function fillTemplate(text, fields) {
	return text.replaceAll(/\{\{([^\}]*)\}\}/gv, (_, name) => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value === undefined ? '' : String(value);
	});
}

/** One daemon, started with the command of the deploy file. */
export class Daemon {
	/** True once the test itself has ended the process. */
	isStopped = false;
	output = '';
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	constructor({name = 'edge-1', zone = 'zone-a', store, duties, bounds = {}, memoryMb = 350}) {
		this.name = name;
		this.zone = zone;
		this.fields = {
			node_name: name, ip: '127.0.0.1', zone, platform: {address: store}, cloud_api: {address: duties},
			limits: {memory_mb: memoryMb, link_mbps: 1000, max_fds: 4100}, bounds: {...defaultBounds, ...bounds},
		};
	}

	async start() {
		const deploy = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
		const [program, ...args] = /^run = "(.*)"$/mv.exec(deploy)[1].split(' ');
		if (this.ports === undefined) {
			this.ports = await findPorts(4);
		}

		const [callers, readiness, peers, metrics] = this.ports;
		this.address = `127.0.0.1:${callers}`;
		const settings = path.join(this.#folder, 'settings.ini');
		const template = readFileSync(path.join(root, 'deploy/daemon.ini'), 'utf8');
		// Daemons that share a machine cannot share the port of the template.
		writeFileSync(settings, fillTemplate(template, {
			...this.fields, listen: {frontend: this.address, readiness: `127.0.0.1:${readiness}`}, internal_ports: [peers],
		}).replace(/^metrics-port = .*$/mv, `metrics-port = ${metrics}`));
		this.isStopped = false;
		this.child = spawn(program, args, {cwd: root, env: {PATH: process.env.PATH, WAGTAILTACK_SETTINGS: settings}, stdio: ['ignore', 'pipe', 'pipe']});
		const {child} = this;
		running.add(child);
		child.once('exit', () => {
			running.delete(child);
		});
		for (const stream of [this.child.stdout, this.child.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				this.output = (this.output + text).slice(-4_000_000);
				if (process.env.LOG !== undefined) {
					appendFileSync(process.env.LOG, text);
				}
			});
		}
	}

	get hasExited() {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	signal(name) {
		this.isStopped ||= name === 'SIGKILL' || name === 'SIGTERM';
		this.child.kill(name);
	}

	/** True if the readiness path answers with 200. */
	async isReady() {
		return new Promise(resolve => {
			const sent = request({
				host: '127.0.0.1', port: this.ports[1], path: '/api/ready', agent: false, timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			sent.once('error', () => resolve(false));
			sent.once('timeout', () => sent.destroy());
			sent.end();
		});
	}

	async waitUntilReady(ms = 15_000) {
		return until(() => this.isReady(), ms, 50);
	}

	async stop() {
		this.isStopped = true;
		if (!this.hasExited) {
			this.child.kill('SIGCONT');
			this.child.kill('SIGKILL');
			await once(this.child, 'exit');
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}
}
