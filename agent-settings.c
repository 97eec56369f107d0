#include "agent.h"

const char cf_agent_defaults[] = "[agent]\n"
                                 "listen = \"127.0.0.1:7101\"\n"
                                 "target_url = \"http://127.0.0.1:7201\"\n"
                                 "workers = 32\n"
                                 "queue = 256\n"
                                 "guard_ttl_ms = 600000\n"
                                 "guard_max = 100000\n"
                                 "guard_quiet_ms = 5000\n"
                                 "drain_grace_ms = 30000\n"
                                 "config_grace_ms = 9000\n"
                                 "[group]\n"
                                 "members = []\n"
                                 "rank = 0\n"
                                 "interval_ms = 30000\n"
                                 "hold_max_ms = 2000\n"
                                 "prepare_ms = 60000\n"
                                 "policy = \"bounded\"\n"
                                 "skew_weight = 1.0\n"
                                 "move_weight = 0.01\n"
                                 "max_moves = 16\n";

static const CfSetting fields[] = {
  { CF_SETTING_STRING, "agent", "listen", offsetof (CfAgentSettings, listen), 0,
    0 },
  { CF_SETTING_STRING, "agent", "target_url",
    offsetof (CfAgentSettings, target_url), 0, 0 },
  { CF_SETTING_INT, "agent", "workers", offsetof (CfAgentSettings, workers), 1,
    1024 },
  { CF_SETTING_INT, "agent", "queue", offsetof (CfAgentSettings, queue), 4,
    65536 },
  { CF_SETTING_INT, "agent", "guard_ttl_ms",
    offsetof (CfAgentSettings, guard_ttl_ms), 1000, 86400000 },
  { CF_SETTING_INT, "agent", "guard_max", offsetof (CfAgentSettings, guard_max),
    16, 10000000 },
  { CF_SETTING_INT, "agent", "guard_quiet_ms",
    offsetof (CfAgentSettings, guard_quiet_ms), 0, 3600000 },
  { CF_SETTING_INT, "agent", "drain_grace_ms",
    offsetof (CfAgentSettings, drain_grace_ms), 0, 3600000 },
  { CF_SETTING_INT, "agent", "config_grace_ms",
    offsetof (CfAgentSettings, config_grace_ms), 0, 3600000 },
  { CF_SETTING_STRINGS, "group", "members",
    offsetof (CfAgentSettings, group.members), 0, 0 },
  { CF_SETTING_INT, "group", "rank", offsetof (CfAgentSettings, group.rank), 0,
    4095 },
  { CF_SETTING_INT, "group", "interval_ms",
    offsetof (CfAgentSettings, group.interval_ms), 0, 86400000 },
  { CF_SETTING_INT, "group", "hold_max_ms",
    offsetof (CfAgentSettings, group.hold_max_ms), 200, 600000 },
  { CF_SETTING_INT, "group", "prepare_ms",
    offsetof (CfAgentSettings, group.prepare_ms), 100, 3600000 },
  { CF_SETTING_STRING, "group", "policy",
    offsetof (CfAgentSettings, group.policy), 0, 0 },
  { CF_SETTING_DOUBLE, "group", "skew_weight",
    offsetof (CfAgentSettings, group.skew_weight), 0, 1e6 },
  { CF_SETTING_DOUBLE, "group", "move_weight",
    offsetof (CfAgentSettings, group.move_weight), 0, 1e6 },
  { CF_SETTING_INT, "group", "max_moves",
    offsetof (CfAgentSettings, group.max_moves), 1, 4096 },
};

CfStatus
cf_agent_settings_read (CfSettings *s, CfAgentSettings *o)
{
  CfStatus st = cf_settings_read (s, fields, G_N_ELEMENTS (fields), o);

  if (st == CF_OK && (o->queue & (o->queue - 1)) != 0)
    st = cf_fail (CF_ERR_SETTINGS, "choose a power of two such as 256",
                  "%s: [agent] queue = %" G_GINT64_FORMAT
                  " is not a power of two",
                  s->origin, o->queue);
  if (st == CF_OK)
    st = cf_rank_group_settings_check (s, &o->group);
  return st;
}
