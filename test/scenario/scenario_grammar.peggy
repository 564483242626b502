// Grammar of the scenario language, which docs/design/scenarios.md describes.

Scenario
  = lines:Line* rest:LastLine? { return [...lines, rest].filter(Boolean); }

Line
  = _ statement:Statement? _ Comment? EndOfLine { return statement ?? null; }

LastLine
  = _ statement:Statement _ Comment? { return statement; }
  / _ Comment { return null; }

Statement
  = body:(
      Fleet / PolicySet / Start
      / PublishPolicy / PublishDocument / PublishHosts
      / Send / Load / AwaitGroup / Daemon
      / ZoneLink / HostLink / LinkWidth / Forget / Platform / Upstream
      / Pause / WaitUntil / Expect
    ) { return {...body, line: location().start.line}; }

// Set-up

Fleet
  = "fleet" __ "of" __ zonesCount:Integer __ "zone" "s"? ","? __
    hostsCount:Integer __ "host" "s"? __ "each"
    hasLinks:(","? __ "with" __ "links")? spareHosts:Spare*
    {
      return {
        kind: 'fleet', zonesCount, hostsCount,
        hasLinks: hasLinks !== null, spareHosts,
      };
    }

Spare
  = ","? __ "spare" __ name:Name { return name; }

PolicySet
  = "policy" __ path:Path _ "=" _ value:Value
    { return {kind: 'policy-set', path, value}; }

Start
  = "start" limitMillis:Within? { return {kind: 'start', limitMillis: limitMillis ?? 30000}; }

// Platform

PublishPolicy
  = "publish" __ "policy" version:(__ "as" __ "version" __ @Integer)?
    etagVersion:(__ "with" __ "etag" __ @Integer)?
    {
      return {
        kind: 'publish-policy',
        version: version ?? undefined,
        etagVersion: etagVersion ?? undefined,
      };
    }

PublishDocument
  = "publish" __ "document" __ text:Text __ "as" __ "version" __ version:Integer
    { return {kind: 'publish-document', text, version}; }

PublishHosts
  = "publish" __ "hosts" changes:HostChange+
    { return {kind: 'publish-hosts', changes}; }

HostChange
  = ","? __ state:("live" / "leaving" / "removed") __ host:Host
    { return {host, state}; }

Platform
  = "platform" front:(__ "of" __ "zone" __ @Name)? __ fault:PlatformFault
    { return {kind: 'platform', front: front ?? 'all', fault}; }

PlatformFault
  = "up" { return {mode: 'up', isStale: false}; }
  / "stale" { return {isStale: true}; }
  / mode:("refuse" / "hang" / "error" / "truncate") { return {mode}; }

// Requests

Send
  = "send" count:(__ @Integer)? __ request:Request rest:RequestOption*
    {
      return Object.assign(
        {kind: 'send', count: count ?? 1, request, target: {kind: 'any'}},
        ...rest,
      );
    }

Load
  = "load" __ ratePerSecond:Integer "/s" __ request:Request
    __ "for" __ durationMillis:Duration rest:RequestOption*
    {
      return Object.assign(
        {kind: 'load', ratePerSecond, durationMillis, request, target: {kind: 'any'}},
        ...rest,
      );
    }

Request
  = method:$[A-Z]+ __ service:Name __ path:$("/" [^ \t\r\n#]*)
    { return {method, service, path}; }

RequestOption
  = __ "at" __ host:Host { return {target: {kind: 'host', host}}; }
  / __ "in" __ "zone" __ zone:Name { return {target: {kind: 'any', zone}}; }
  / __ "body" __ bodyBytes:Integer __ "bytes" { return {bodyBytes}; }
  / __ "timeout" __ timeoutMillis:Duration { return {timeoutMillis}; }
  / __ "as" __ group:Name { return {group}; }

AwaitGroup
  = "await" __ group:Name { return {kind: 'await', group}; }

// Hosts

Daemon
  = action:("kill" / "stop" / "freeze" / "resume" / "replace" / "launch" / "reload") __
    hosts:Hosts group:(__ "as" __ @Name)?
    { return {kind: 'daemon', action, hosts, group: group ?? undefined}; }

Hosts
  = "every" __ "host" service:(__ "of" __ @Name)? zone:(__ "in" __ "zone" __ @Name)?
    { return {kind: 'every', service: service ?? undefined, zone: zone ?? undefined}; }
  / host:Host { return {kind: 'one', host}; }

Host
  = name:Name { return {kind: 'named', name}; }

Upstream
  = "upstream" "s"? __ "of" __ hosts:Hosts __ change:UpstreamChange
    { return {kind: 'upstream', hosts, change}; }

UpstreamChange
  = "release" { return 'release'; }
  / "restart" { return 'restart'; }
  / "well" {
      return {
        mode: 'none', slowFactor: 1, contextMode: 'copy', callRepeatsCount: 0,
        announcedLimit: null, isLeaving: false,
      };
    }
  / "limit" __ announcedLimit:Number { return {announcedLimit}; }
  / "leaving" { return {isLeaving: true}; }
  / "slow" __ "by" __ slowFactor:Number { return {slowFactor}; }
  / "context" __ contextMode:("copy" / "drop" / "previous") { return {contextMode}; }
  / "repeat" __ "calls" __ callRepeatsCount:Integer { return {callRepeatsCount}; }
  / fault:UpstreamFault options:UpstreamFaultOption*
    { return Object.assign({remainingCount: null, pathPrefix: ''}, fault, ...options); }

UpstreamFault
  = "cut" __ "at" __ cutAt:("headers" / "middle" / "last-byte") { return {mode: 'cut', cutAt}; }
  / mode:("silent" / "hold" / "reset-unrun" / "reset" / "error" / "unavailable" / "refuse")
    { return {mode}; }

UpstreamFaultOption
  = __ "on" __ pathPrefix:$("/" [^ \t\r\n#]*) { return {pathPrefix}; }
  / __ "for" __ remainingCount:Integer __ "request" "s"? { return {remainingCount}; }

// Links

ZoneLink
  = "cut" __ "zone" __ zoneA:Name __ "from" __ zoneB:Name mode:CutMode?
    { return {kind: 'zone-link', zoneA, zoneB, mode: mode ?? 'silent'}; }
  / "heal" __ "zone" __ zoneA:Name __ "and" __ zoneB:Name
    { return {kind: 'zone-link', zoneA, zoneB, mode: 'open'}; }

CutMode
  = __ "with" __ "resets" { return 'reset'; }

HostLink
  = mode:("freeze" / "reset" / "heal") __ link:LinkName __ "link" __ "of" __ hosts:Hosts
    {
      const modes = {freeze: 'silent', reset: 'reset', heal: 'open'};
      return {kind: 'host-link', link, hosts, mode: modes[mode]};
    }

LinkWidth
  = "narrow" __ link:LinkName __ "link" __ "of" __ hosts:Hosts __ "to" __ kilobytes:Integer __ "kB/s"
    { return {kind: 'link-width', link, hosts, bytesPerSecond: kilobytes * 1000}; }
  / "widen" __ link:LinkName __ "link" __ "of" __ hosts:Hosts
    { return {kind: 'link-width', link, hosts}; }

Forget
  = "forget" __ link:LinkName __ "connections" __ "of" __ hosts:Hosts
    { return {kind: 'forget', link, hosts}; }

LinkName
  = "peer" / "upstream"

// Timing and expectations

Pause
  = "wait" __ millis:Duration { return {kind: 'pause', millis}; }

WaitUntil
  = "wait" __ "until" __ condition:Condition limitMillis:Within
    { return {kind: 'wait-until', condition, limitMillis}; }

Expect
  = "expect" __ condition:Condition { return {kind: 'expect', condition}; }

Condition
  = measure:Measure __ operator:("<=" / ">=" / "!=" / "=" / "<" / ">") __ value:Number
    { return {measure, operator, value, text: text()}; }

Measure
  = "unanswered" __ "executions" __ "of" __ group:Name at:At
    { return {kind: 'unanswered-executions', group, service: at}; }
  / "maximum" __ "executions" __ "of" __ group:Name at:At
    { return {kind: 'maximum-executions', group, service: at}; }
  / "executions" __ "of" __ group:Name at:At
    { return {kind: 'executions', group, service: at}; }
  / "maximum" __ "retries" __ "of" __ group:Name { return {kind: 'maximum-retries', group}; }
  / "maximum" __ "repeats" __ "of" __ group:Name { return {kind: 'maximum-repeats', group}; }
  / "false" __ "not-run" __ "of" __ group:Name { return {kind: 'false-not-run', group}; }
  / "status" __ statusCode:Integer __ "of" __ group:Name { return {kind: 'status', statusCode, group}; }
  / "reason" __ reason:Name __ "of" __ group:Name { return {kind: 'reason', reason, group}; }
  / result:("sent" / "answered" / "wrong" / "failed" / "broken" / "not-run" / "unknown" / "ran")
    __ "of" __ group:Name { return {kind: 'results', result, group}; }
  / "arrivals" __ "of" __ group:Name __ "at" __ hosts:Hosts
    { return {kind: 'arrivals', group, hosts}; }
  / "requests" __ "at" __ hosts:Hosts { return {kind: 'received', hosts}; }
  / "version" __ "at" __ host:Host { return {kind: 'version', host}; }
  / which:("lowest" / "highest") __ "version" zone:(__ "in" __ "zone" __ @Name)?
    { return {kind: 'version-bound', which, zone: zone ?? undefined}; }
  / "version" __ "decreases" { return {kind: 'version-decreases'}; }
  / "version" __ "conflicts" { return {kind: 'version-conflicts'}; }
  / "exit" __ "code" __ "of" __ host:Host { return {kind: 'exit-code', host}; }
  / "ready" __ "hosts" { return {kind: 'ready-hosts'}; }
  / "platform" __ "calls" { return {kind: 'platform-calls'}; }
  / "wrong" __ "calls" { return {kind: 'wrong-calls'}; }

At
  = __ "at" __ service:Name { return service; }

Within
  = __ "within" __ limitMillis:Duration { return limitMillis; }

// Tokens

Duration
  = value:Number __ "ms" { return value; }
  / value:Number __ "s" { return value * 1000; }

Path
  = first:PathPart rest:("." @PathPart)* { return [first, ...rest]; }

PathPart
  = $[A-Za-z0-9_-]+

Name
  = $([A-Za-z0-9] [A-Za-z0-9_-]*)

Value
  = "true" { return true; }
  / "false" { return false; }
  / Number
  / Text

Text
  = '"' text:$[^"\r\n]* '"' { return text; }

Integer
  = digits:$[0-9]+ { return Number(digits); }

Number
  = digits:$("-"? [0-9]+ ("." [0-9]+)?) { return Number(digits); }

Comment
  = "#" [^\r\n]*

EndOfLine
  = "\r"? "\n"

_ "space"
  = [ \t]*

__ "space"
  = [ \t]+
